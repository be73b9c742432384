/** Rate of events, averaged with weights that decay exponentially. */

/** Long enough for a node with a few arrivals a second, shorter than an overload. */
const DECAY_MS = 1_000;
const MS_PER_S = 1_000;

/** Counts events; the rate is exact for constant arrivals. */
export class DecayingRate {
  private count = 0;
  private atMs = 0;

  /** Counts one event. */
  record(nowMs: number): void {
    this.count = this.countAt(nowMs) + 1;
    this.atMs = nowMs;
  }

  /** Events per second. */
  perSecond(nowMs: number): number {
    return (this.countAt(nowMs) * MS_PER_S) / DECAY_MS;
  }

  private countAt(nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - this.atMs);
    return this.count * Math.exp(-elapsedMs / DECAY_MS);
  }
}
