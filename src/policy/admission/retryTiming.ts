/**
 * Retry-After of refused requests.
 *
 * A momentary shortage refuses few requests, and a quick retry still meets its
 * latency target. A burst or a demand shift refuses many requests and lasts a
 * second or two; a retry during that time is refused for good.
 */

/** Time constant with which the counts of requests and refusals decay. */
const DECAY_MS = 1_500;
/** Ratio of refused requests above which a shortage counts as lasting. */
export const LASTING_REFUSAL_RATIO = 0.12;
/** Earliest quick retry: the next slots become free within a few passes. */
export const QUICK_RETRY_MIN_MS = 120;
/** Latest quick retry. */
export const QUICK_RETRY_MAX_MS = 300;
/**
 * Range of a late retry, which spreads the retries over the length of a shortage.
 * Callers wait at most a third of their time limit.
 */
const LATE_RETRY_MIN_MS = 700;
const LATE_RETRY_MAX_MS = 2_600;

/** Chooses Retry-After by the recent ratio of refusals. */
export class RetryTiming {
  private requests = 0;
  private refused = 0;
  private atMs = 0;

  /** Counts a request that was received. */
  recordRequest(nowMs: number): void {
    this.decay(nowMs);
    this.requests++;
  }

  /** Counts a refusal and returns its Retry-After, milliseconds. */
  recordRefusal(nowMs: number, random: () => number): number {
    this.decay(nowMs);
    this.refused++;
    const isLasting = this.refused > LASTING_REFUSAL_RATIO * this.requests + 1;
    return isLasting
      ? LATE_RETRY_MIN_MS + (LATE_RETRY_MAX_MS - LATE_RETRY_MIN_MS) * random()
      : QUICK_RETRY_MIN_MS +
          (QUICK_RETRY_MAX_MS - QUICK_RETRY_MIN_MS) * random();
  }

  private decay(nowMs: number): void {
    const decayFactor = Math.exp(-Math.max(0, nowMs - this.atMs) / DECAY_MS);
    this.atMs = nowMs;
    this.requests *= decayFactor;
    this.refused *= decayFactor;
  }
}
