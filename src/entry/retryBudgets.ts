/** Keeps one retry budget per pool. */

import {RetryBudget} from '../policy/retryBudget';

const MIN_RETRIES_PER_SECOND = 1;

/** Budgets by pool; times are `performance.now()` milliseconds. */
export class RetryBudgets {
  private readonly budgets = new Map<string, RetryBudget>();

  /** The budget of a pool, with `percent` from the active rules applied. */
  forPool(pool: string, percent: number): RetryBudget {
    const options = {percent, minPerSecond: MIN_RETRIES_PER_SECOND};
    const existing = this.budgets.get(pool);
    if (existing !== undefined) {
      existing.configure(options);
      return existing;
    }
    const budget = new RetryBudget(options, performance.now());
    this.budgets.set(pool, budget);
    return budget;
  }
}
