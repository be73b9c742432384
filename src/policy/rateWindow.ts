/** Counts sends in the last second, for targets with a rate limit when cold. */

const WINDOW_MS = 1_000;

/** Sliding-window rate limiter for the sends of one node to one target. */
export class RateWindow {
  private sentAtMs: number[] = [];

  /** Whether one more send keeps every span of a second within `perSecond`. */
  allows(nowMs: number, perSecond: number): boolean {
    const windowStartMs = nowMs - WINDOW_MS;
    while ((this.sentAtMs[0] ?? Infinity) <= windowStartMs)
      this.sentAtMs.shift();
    return this.sentAtMs.length < perSecond;
  }

  add(nowMs: number): void {
    this.sentAtMs.push(nowMs);
  }
}
