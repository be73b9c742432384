/**
 * Repeats as a bounded part of the requests in a sliding window.
 *
 * The load it answers: when answers are lost or a group breaks, every request
 * is sent again at once, and what is left gets twice the load. The bound holds
 * for all nodes together in every span of the window, so nothing is saved up
 * from quiet times: each node takes a part of the fixed allowance, and the
 * share of its own requests.
 */

/** Bounds for all nodes together. */
export interface WindowBudgetLimits {
  /** Repeats for each request. */
  readonly ratio: number;
  /** Repeats in a window that are allowed besides. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Part of the bound that is used: callers count arrivals, we count sends. */
const USED_PART = 0.7;
/** Steps of the window; a repeat is forgotten one step late at most. */
const STEPS = 20;

interface Step {
  readonly number: number;
  requests: number;
  repeats: number;
}

/** One service's budget at one node. */
export class WindowBudget {
  private steps: Step[] = [];

  constructor(private readonly limits: WindowBudgetLimits) {}

  /** Counts the first send of a request. */
  request(nowMs: number): void {
    this.step(nowMs).requests++;
  }

  /** Takes one repeat; false when the budget is used up. */
  tryRepeat(nowMs: number, nodes: number): boolean {
    const now = this.step(nowMs);
    let requests = 0;
    let repeats = 0;
    for (const step of this.steps) {
      requests += step.requests;
      repeats += step.repeats;
    }
    const {ratio, slack} = this.limits;
    const bound = USED_PART * (ratio * requests + slack / Math.max(1, nodes));
    if (repeats + 1 > bound) return false;
    now.repeats++;
    return true;
  }

  private step(nowMs: number): Step {
    const number = Math.floor((nowMs * STEPS) / this.limits.windowMs);
    const last = this.steps[this.steps.length - 1];
    if (last?.number === number) return last;
    this.steps = this.steps.filter(step => step.number > number - STEPS - 1);
    const step = {number, requests: 0, repeats: 0};
    this.steps.push(step);
    return step;
  }
}
