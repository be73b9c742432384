/** Which pass a group begins next, estimated from reports of its ranks. */

/** Age of what a report shows. */
const REPORT_AGE_MS = 200;
/** Before any pass was measured: a group under load. */
const FIRST_PASS_MS = 50;
/** Passes of an idle group tell nothing of their length. */
const LONGEST_PASS_MS = 400;
const SMOOTHING = 0.3;

/** Counts passes between reports. */
export class PassClock {
  private pass = 0;
  private atMs = -Infinity;
  private passMs = FIRST_PASS_MS;
  private paceMs = 0;
  private lastTaken = 0;

  /** Takes in the last pass that a report shows. */
  note(pass: number, askedAtMs: number): void {
    if (askedAtMs <= this.atMs || pass < this.pass) return;
    const passes = pass - this.pass;
    const ms = (askedAtMs - this.atMs) / Math.max(1, passes);
    const isMeasured = passes > 0 && ms <= LONGEST_PASS_MS;
    if (isMeasured) this.passMs += (ms - this.passMs) * SMOOTHING;
    this.pass = pass;
    this.atMs = askedAtMs;
  }

  /** Takes in the length of a pass as streams show it; 0 when none runs. */
  notePace(paceMs: number): void {
    this.paceMs = paceMs;
  }

  /** When the pass has likely begun; one that is due begins within a pass. */
  beginOf(pass: number, nowMs: number): number {
    const ahead = Math.max(1, pass - this.nextPass(nowMs) + 1);
    return nowMs + ahead * Math.max(this.passMs, this.paceMs);
  }

  /**
   * A pass for the next hold, `spare` passes after the one that begins next. Never
   * the same twice: a late order of an earlier try must not fit.
   */
  takeNext(nowMs: number, spare: number): number {
    const next = this.nextPass(nowMs) + spare;
    this.lastTaken = Math.max(next, this.lastTaken + 1);
    return this.lastTaken;
  }

  /** Takes no pass up to this one any more. */
  exclude(pass: number): void {
    this.lastTaken = Math.max(this.lastTaken, pass);
  }

  /** The pass after the one that is likely running. */
  nextPass(nowMs: number): number {
    const ageMs = Math.max(0, nowMs - this.atMs) + REPORT_AGE_MS;
    if (!Number.isFinite(ageMs)) return this.pass + 1;
    return this.pass + Math.floor(ageMs / this.passMs) + 1;
  }
}
