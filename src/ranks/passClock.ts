/** Estimates which pass a group begins next, from the reports of its ranks. */

/** Age of the state that a report shows. */
const REPORT_DELAY_MS = 200;
/** Pass duration before the first measurement: that of a group under load. */
const INITIAL_PASS_MS = 50;
/**
 * Longer passes are not measured: in an idle group, the interval of passes does
 * not show their duration.
 */
const MAX_MEASURED_PASS_MS = 400;
const PASS_EWMA_WEIGHT = 0.3;

/** Extrapolates the pass counter between reports. */
export class PassClock {
  private pass = 0;
  private atMs = -Infinity;
  private passMs = INITIAL_PASS_MS;
  private streamPassMs = 0;
  private lastReserved = 0;

  /**
   * Notes the last pass of a report; `requestedAtMs` is when it was requested.
   */
  noteReport(pass: number, requestedAtMs: number): void {
    if (requestedAtMs <= this.atMs || pass < this.pass) return;
    const passes = pass - this.pass;
    const measuredMs = (requestedAtMs - this.atMs) / Math.max(1, passes);
    const isMeasured = passes > 0 && measuredMs <= MAX_MEASURED_PASS_MS;
    if (isMeasured)
      this.passMs += (measuredMs - this.passMs) * PASS_EWMA_WEIGHT;
    this.pass = pass;
    this.atMs = requestedAtMs;
  }

  /** Notes the pass duration observed in streams; 0 when no stream runs. */
  noteStreamPassMs(passMs: number): void {
    this.streamPassMs = passMs;
  }

  /**
   * Time by which the pass has likely begun. A pass that should have begun
   * already is expected within one pass duration.
   */
  expectedBeginMs(pass: number, nowMs: number): number {
    const passesAhead = Math.max(1, pass - this.nextPass(nowMs) + 1);
    return nowMs + passesAhead * Math.max(this.passMs, this.streamPassMs);
  }

  /**
   * Reserves a pass for the next hold, `leadPasses` after the one that begins
   * next. No pass is reserved twice, so that a late order of an earlier attempt
   * never matches a later hold.
   */
  reservePass(nowMs: number, leadPasses: number): number {
    const next = this.nextPass(nowMs) + leadPasses;
    this.lastReserved = Math.max(next, this.lastReserved + 1);
    return this.lastReserved;
  }

  /** Reserves no pass up to this one from now on. */
  excludeUpTo(pass: number): void {
    this.lastReserved = Math.max(this.lastReserved, pass);
  }

  /** The pass after the one that is likely running. */
  nextPass(nowMs: number): number {
    const ageMs = Math.max(0, nowMs - this.atMs) + REPORT_DELAY_MS;
    if (!Number.isFinite(ageMs)) return this.pass + 1;
    return this.pass + Math.floor(ageMs / this.passMs) + 1;
  }
}
