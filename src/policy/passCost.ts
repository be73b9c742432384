/**
 * What one more request adds to every pass of a group, at its worst lately.
 *
 * The load it answers: experts come into demand that stand on one rank alone,
 * and for a second or two each request costs three times as much. A bound from
 * the present cost would let so many requests in that all of them get one pause
 * too long when that happens next; the worst cost of the last seconds does not.
 */

/** A shift, and the time until a map answers it, come around in this time. */
const MEMORY_MS = 6_000;
const STEPS = 12;
/** With fewer requests the fixed part of a pass drowns what each one adds. */
const LEAST_RUNNING = 4;

interface Step {
  readonly number: number;
  most: number;
}

/** Cost of one request, in milliseconds of a pass. */
export class PassCost {
  private steps: Step[] = [];

  /** Notes the pace of passes with so many requests running. */
  note(paceMs: number, fixedMs: number, running: number, nowMs: number): void {
    if (running < LEAST_RUNNING || paceMs <= fixedMs) return;
    const step = this.step(nowMs);
    step.most = Math.max(step.most, (paceMs - fixedMs) / running);
  }

  /** Highest cost lately; 0 when nothing ran. */
  worstMs(nowMs: number): number {
    this.forgetBefore(nowMs);
    return this.steps.reduce((most, step) => Math.max(most, step.most), 0);
  }

  private step(nowMs: number): Step {
    this.forgetBefore(nowMs);
    const number = stepNumber(nowMs);
    const last = this.steps[this.steps.length - 1];
    if (last?.number === number) return last;
    const step = {number, most: 0};
    this.steps.push(step);
    return step;
  }

  private forgetBefore(nowMs: number): void {
    const oldest = stepNumber(nowMs) - STEPS;
    this.steps = this.steps.filter(({number}) => number > oldest);
  }
}

function stepNumber(nowMs: number): number {
  return Math.floor((nowMs * STEPS) / MEMORY_MS);
}
