/**
 * When those who are turned away are to come back.
 *
 * The loads it answers differ. A gap of a moment, with few turned away: a quick
 * second try is still in time for its latency target. A burst, or experts that
 * just came into demand, with many turned away: it lasts for a second or two,
 * and who comes back into it is turned away for good.
 */

/** Time over which those turned away are counted. */
const MEMORY_MS = 1_500;
/** Part of the requests turned away from which a shortage counts as lasting. */
const LASTING_PART = 0.12;
/** A quick second try: the next places come free within a few passes. */
const QUICK_FROM_MS = 120;
const QUICK_TO_MS = 300;
/**
 * A late one: shortages last about so long, and callers wait no longer than a
 * third of the eight seconds that streams have. Spread, they do not come as one.
 */
const LATE_FROM_MS = 700;
const LATE_TO_MS = 2_600;

/** Decides by how many were turned away lately. */
export class RetryTiming {
  private asked = 0;
  private refused = 0;
  private atMs = 0;

  /** Counts a request that asks for a place. */
  noteAsked(nowMs: number): void {
    this.fade(nowMs);
    this.asked++;
  }

  /** Counts one that is turned away; the time until it is to come back. */
  refuse(nowMs: number, random: () => number): number {
    this.fade(nowMs);
    this.refused++;
    const isLasting = this.refused > LASTING_PART * this.asked + 1;
    return isLasting
      ? LATE_FROM_MS + (LATE_TO_MS - LATE_FROM_MS) * random()
      : QUICK_FROM_MS + (QUICK_TO_MS - QUICK_FROM_MS) * random();
  }

  private fade(nowMs: number): void {
    const kept = Math.exp(-Math.max(0, nowMs - this.atMs) / MEMORY_MS);
    this.atMs = nowMs;
    this.asked *= kept;
    this.refused *= kept;
  }
}
