/**
 * Retry-After of rejected requests.
 *
 * Two patterns. A shortage of a moment rejects few: a quick retry still meets its
 * latency target. A burst, or a shift of demand, rejects many and lasts a second
 * or two: a retry within it is rejected for good.
 */

/** Time over which rejections are counted. */
const MEMORY_MS = 1_500;
/** Part of the requests rejected from which a shortage counts as lasting. */
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

/** Chooses by the recent part of rejections. */
export class RetryTiming {
  private asked = 0;
  private refused = 0;
  private atMs = 0;

  /** Counts a request that asks to be admitted. */
  noteAsked(nowMs: number): void {
    this.fade(nowMs);
    this.asked++;
  }

  /** Counts a rejection; returns its Retry-After, milliseconds. */
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
