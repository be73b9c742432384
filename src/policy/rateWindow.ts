/** Counts the sends of one node to one target in a sliding window. */

const MS_PER_S = 1_000;

/** Sliding-window rate limiter; the window is a second by default. */
export class RateWindow {
  private sentAtMs: number[] = [];

  constructor(private readonly windowMs = MS_PER_S) {}

  /** Number of sends that are remembered. */
  get size(): number {
    return this.sentAtMs.length;
  }

  /** Whether one more send keeps every window within `limit` sends. */
  allows(nowMs: number, limit: number): boolean {
    this.evict(nowMs);
    return this.sentAtMs.length < limit;
  }

  add(nowMs: number): void {
    this.evict(nowMs);
    this.sentAtMs.push(nowMs);
  }

  private evict(nowMs: number): void {
    const windowStartMs = nowMs - this.windowMs;
    while ((this.sentAtMs[0] ?? Infinity) <= windowStartMs)
      this.sentAtMs.shift();
  }
}
