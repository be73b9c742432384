/** Where a group's ranks probably are now, from reports that are seconds old. */

/** The first guess of a rate is taken from reports at least this far apart. */
const MIN_RATE_WINDOW_MS = 100;

/** Times are `performance.now()` milliseconds. */
export class StepEstimate {
  private step = 0;
  private atMs: number | undefined;
  private stepsPerMs = 0;

  /** A rank showed this step; older ones are ignored. */
  record(step: number, nowMs: number): void {
    if (step <= this.step && this.atMs !== undefined) return;
    const elapsedMs = this.atMs === undefined ? 0 : nowMs - this.atMs;
    if (elapsedMs >= MIN_RATE_WINDOW_MS)
      this.stepsPerMs = (step - this.step) / elapsedMs;
    this.step = step;
    this.atMs = nowMs;
  }

  /**
   * Without the growth since the last report the switch step would have passed
   * when the order arrives, or the group would stand at it and wait.
   */
  at(nowMs: number): number {
    if (this.atMs === undefined) return this.step;
    return Math.ceil(this.step + this.stepsPerMs * (nowMs - this.atMs));
  }
}
