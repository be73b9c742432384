/**
 * Retries and hedges as a bounded part of the requests.
 *
 * Every entry earns retries from its own first attempts only, so the sum over
 * all entries keeps to the percentage however many there are, and an outage
 * can't multiply the load of the targets that are left.
 */

/** Settings of a budget. */
export interface RetryBudgetOptions {
  /** Retries for a hundred requests. */
  readonly percent: number;
  /** Retries a second that a quiet entry may always make. */
  readonly minPerSecond: number;
}

/** Seconds of the floor that an idle entry may save up. */
const FLOOR_SAVED_S = 2;
/** Requests whose earned retries may be saved up. */
const SAVED_REQUESTS = 500;
/** Replacements that each request earns. */
const REPLACEMENTS_PER_REQUEST = 0.5;

/** One budget for a pool at an entry; retries and hedges draw on it. */
export class RetryBudget {
  private earned = 0;
  private replacements = 0;
  private floor: number;
  private lastMs: number;

  constructor(
    private options: RetryBudgetOptions,
    nowMs: number
  ) {
    this.floor = options.minPerSecond * FLOOR_SAVED_S;
    this.lastMs = nowMs;
  }

  /** Applies a changed rule; what was saved is cut to the new bounds. */
  configure(options: RetryBudgetOptions): void {
    this.options = options;
    this.earned = Math.min(this.earned, this.maxEarned());
    this.floor = Math.min(this.floor, options.minPerSecond * FLOOR_SAVED_S);
  }

  /** Counts the first attempt of a request. */
  request(): void {
    const gain = this.options.percent / 100;
    this.earned = Math.min(this.maxEarned(), this.earned + gain);
    this.replacements = Math.min(
      SAVED_REQUESTS,
      this.replacements + REPLACEMENTS_PER_REQUEST
    );
  }

  /**
   * Spends one replacement of an attempt that certainly holds no capacity any
   * more: refused before it ran, or its target is gone. Such an attempt adds
   * no load, and a lost zone takes a third of all streams at once, which the
   * retries could not cover. It is still bounded: requests that kill every
   * target they reach would otherwise go round for ever.
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
    if (this.floor < 1) return false;
    this.floor--;
    return true;
  }

  private maxEarned(): number {
    return (this.options.percent / 100) * SAVED_REQUESTS;
  }

  private refillFloor(nowMs: number): void {
    const elapsedS = Math.max(0, nowMs - this.lastMs) / 1000;
    this.lastMs = Math.max(this.lastMs, nowMs);
    const {minPerSecond} = this.options;
    this.floor = Math.min(
      minPerSecond * FLOOR_SAVED_S,
      this.floor + elapsedS * minPerSecond
    );
  }
}
