/**
 * Estimates the current pass of a group (`step` on the wire) from reports that
 * are seconds old.
 */

/** The rate is estimated only from reports at least this far apart. */
const MIN_RATE_WINDOW_MS = 100;

/** Times are `performance.now()` in milliseconds. */
export class PassEstimate {
  private step = 0;
  private atMs: number | undefined;
  private passesPerMs = 0;

  /** Records a reported step; steps that are not newer are ignored. */
  record(step: number, nowMs: number): void {
    if (step <= this.step && this.atMs !== undefined) return;
    const elapsedMs = this.atMs === undefined ? 0 : nowMs - this.atMs;
    if (elapsedMs >= MIN_RATE_WINDOW_MS)
      this.passesPerMs = (step - this.step) / elapsedMs;
    this.step = step;
    this.atMs = nowMs;
  }

  /**
   * Extrapolates from the last report. Without that, the group would have
   * passed the chosen switch step when the prepare message arrives, or would
   * have to wait before it.
   */
  estimateAt(nowMs: number): number {
    if (this.atMs === undefined) return this.step;
    return Math.ceil(this.step + this.passesPerMs * (nowMs - this.atMs));
  }
}
