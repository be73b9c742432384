/**
 * Limits retries and hedges to a percentage of the requests.
 *
 * An entry earns retries from its own first attempts only. Thus all entries together
 * stay within the percentage, however many there are, and an outage can't multiply
 * the load of the remaining targets.
 */

/** Settings of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries per hundred requests. */
  readonly percent: number;
  /** Retries per second that are allowed even with few requests. */
  readonly minPerSecond: number;
}

/** Seconds of `minPerSecond` that an idle entry may accumulate. */
const FLOOR_BURST_S = 2;
/** Number of requests whose earned retries may be accumulated. */
const MAX_SAVED_REQUESTS = 500;
/** Replacements that each request earns. */
const REPLACEMENTS_PER_REQUEST = 0.5;

/** Budget of one pool at an entry, shared by retries and hedges. */
export class RetryBudget {
  private earned = 0;
  private replacements = 0;
  private floorTokens: number;
  private lastMs: number;

  constructor(
    private options: RetryBudgetOptions,
    nowMs: number
  ) {
    this.floorTokens = options.minPerSecond * FLOOR_BURST_S;
    this.lastMs = nowMs;
  }

  /** Applies changed options; accumulated retries are cut to the new bounds. */
  configure(options: RetryBudgetOptions): void {
    this.options = options;
    this.earned = Math.min(this.earned, this.maxEarned());
    this.floorTokens = Math.min(
      this.floorTokens,
      options.minPerSecond * FLOOR_BURST_S
    );
  }

  /** Counts the first attempt of a request. */
  recordRequest(): void {
    const gain = this.options.percent / 100;
    this.earned = Math.min(this.maxEarned(), this.earned + gain);
    this.replacements = Math.min(
      MAX_SAVED_REQUESTS,
      this.replacements + REPLACEMENTS_PER_REQUEST
    );
  }

  /**
   * Spends one replacement of an attempt that certainly holds no capacity any more:
   * it was refused before it ran, or its target is gone. Replacing it adds no load,
   * and the loss of a zone ends a third of all streams at once, more than the
   * retries could cover. Replacements are still bounded; otherwise a request that
   * crashes every target it reaches would be retried forever.
   */
  tryReplace(nowMs: number): boolean {
    if (this.replacements < 1) return this.tryRetry(nowMs);
    this.replacements--;
    return true;
  }

  /** Spends one retry or hedge; false when the budget is used up. */
  tryRetry(nowMs: number): boolean {
    this.refillFloor(nowMs);
    if (this.earned >= 1) {
      this.earned--;
      return true;
    }
    if (this.floorTokens < 1) return false;
    this.floorTokens--;
    return true;
  }

  private maxEarned(): number {
    return (this.options.percent / 100) * MAX_SAVED_REQUESTS;
  }

  private refillFloor(nowMs: number): void {
    const elapsedS = Math.max(0, nowMs - this.lastMs) / 1000;
    this.lastMs = Math.max(this.lastMs, nowMs);
    const {minPerSecond} = this.options;
    this.floorTokens = Math.min(
      minPerSecond * FLOOR_BURST_S,
      this.floorTokens + elapsedS * minPerSecond
    );
  }
}
