/**
 * How long the passes of a group last, from the pauses between the events of
 * streams. All ranks step together, so that a node's own streams show the pace
 * of the whole group, without asking any rank.
 *
 * Pattern: other experts come into demand from one pass to the
 * next. The pace shows it two passes later, at no price; reading the counts of
 * ranks as often would cost more than a late change of maps.
 */

/** Pauses within this time show the present pace: one or two passes. */
const RECENT_MS = 140;
/** Long passes end less often: the last one counts until the next is due. */
const RECENT_PASSES = 1.5;

interface Gap {
  readonly atMs: number;
  readonly ms: number;
}

/** Pauses between events of one service at one node. */
export class PassPace {
  private recent: Gap[] = [];

  /** Notes a pause that has just ended. */
  note(ms: number, nowMs: number): void {
    this.recent.push({atMs: nowMs, ms});
    this.trim(nowMs);
  }

  /** Median pause now; 0 when no stream runs. */
  paceMs(nowMs: number): number {
    this.trim(nowMs);
    const sorted = this.recent.map(({ms}) => ms).sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length / 2)] ?? 0;
  }

  private trim(nowMs: number): void {
    const lastMs = this.recent[this.recent.length - 1]?.ms ?? 0;
    const oldestMs = nowMs - Math.max(RECENT_MS, lastMs * RECENT_PASSES);
    while ((this.recent[0]?.atMs ?? nowMs) < oldestMs) this.recent.shift();
  }
}
