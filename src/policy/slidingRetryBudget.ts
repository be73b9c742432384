/**
 * Limits retries to a ratio of the requests in a sliding window.
 *
 * When responses are lost or a group breaks, every request would be retried at once
 * and double the load of the remaining targets. The limit applies to all nodes
 * together in every span of the window, so nothing accumulates in quiet times.
 * Each node gets an equal part of the fixed allowance and the ratio of its own
 * requests.
 */

/** Limits for all nodes together. */
export interface SlidingRetryLimits {
  /** Retries per request. */
  readonly ratio: number;
  /** Retries per window that are allowed in addition to the ratio. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Ratio of the limit that is used: callers count arrivals, this counts sends. */
const SAFETY_RATIO = 0.7;
/** Buckets of the window; a retry expires at most one bucket late. */
const WINDOW_BUCKETS = 20;

interface Bucket {
  readonly number: number;
  requests: number;
  retries: number;
}

/** Retry budget of one service at one node. */
export class SlidingRetryBudget {
  private buckets: Bucket[] = [];

  constructor(private readonly limits: SlidingRetryLimits) {}

  /** Counts the first attempt of a request. */
  recordRequest(nowMs: number): void {
    this.currentBucket(nowMs).requests++;
  }

  /** Spends one retry; false when the budget is exhausted. */
  tryRetry(nowMs: number, nodes: number): boolean {
    const current = this.currentBucket(nowMs);
    let requests = 0;
    let retries = 0;
    for (const bucket of this.buckets) {
      requests += bucket.requests;
      retries += bucket.retries;
    }
    const {ratio, slack} = this.limits;
    const bound =
      SAFETY_RATIO * (ratio * requests + slack / Math.max(1, nodes));
    if (retries + 1 > bound) return false;
    current.retries++;
    return true;
  }

  private currentBucket(nowMs: number): Bucket {
    const number = Math.floor((nowMs * WINDOW_BUCKETS) / this.limits.windowMs);
    const last = this.buckets[this.buckets.length - 1];
    if (last?.number === number) return last;
    this.buckets = this.buckets.filter(
      bucket => bucket.number > number - WINDOW_BUCKETS - 1
    );
    const bucket = {number, requests: 0, retries: 0};
    this.buckets.push(bucket);
    return bucket;
  }
}
