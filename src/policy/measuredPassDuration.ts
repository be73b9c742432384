/**
 * Measures the pass duration of a group by the pauses between events of streams.
 * All ranks of a group step together, so the streams of one node show the pass
 * duration of the whole group without a query to any rank.
 *
 * The demand for experts may shift from one pass to the next. The pass duration
 * shows it two passes later, at no cost; reading the expert counters of the ranks
 * that often would cost more than a late map switch.
 */

/** Minimum window for the median; it covers one or two passes. */
const MIN_WINDOW_MS = 140;
/**
 * Window in passes, for passes that last longer: the last pause must count until
 * the next pass is due to end.
 */
const WINDOW_PASSES = 1.5;

interface Pause {
  readonly atMs: number;
  readonly ms: number;
}

/** Recent pauses between events of the streams of one group at one node. */
export class MeasuredPassDuration {
  private pauses: Pause[] = [];

  /** Records a pause that has just ended. */
  recordPause(ms: number, nowMs: number): void {
    this.pauses.push({atMs: nowMs, ms});
    this.trim(nowMs);
  }

  /** Median of the recent pauses, milliseconds; 0 when no stream runs. */
  durationMs(nowMs: number): number {
    this.trim(nowMs);
    const sorted = this.pauses.map(({ms}) => ms).sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length / 2)] ?? 0;
  }

  private trim(nowMs: number): void {
    const lastMs = this.pauses[this.pauses.length - 1]?.ms ?? 0;
    const oldestMs = nowMs - Math.max(MIN_WINDOW_MS, lastMs * WINDOW_PASSES);
    while ((this.pauses[0]?.atMs ?? nowMs) < oldestMs) this.pauses.shift();
  }
}
