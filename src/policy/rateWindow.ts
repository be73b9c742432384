/** Counts sends in the last second, for targets that bear only so many cold. */

const SECOND_MS = 1_000;

/** Sends of one node to one target. */
export class RateWindow {
  private sentAtMs: number[] = [];

  /** Whether one more keeps within `perSecond` in every span of a second. */
  allows(nowMs: number, perSecond: number): boolean {
    const oldest = nowMs - SECOND_MS;
    while ((this.sentAtMs[0] ?? Infinity) <= oldest) this.sentAtMs.shift();
    return this.sentAtMs.length < perSecond;
  }

  add(nowMs: number): void {
    this.sentAtMs.push(nowMs);
  }
}
