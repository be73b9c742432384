/** One retry budget a pool, by the rules in force. */

import {RetryBudget} from '../policy/retryBudget';

const MIN_RETRIES_PER_SECOND = 1;

/** Budgets by pool; times are `performance.now()` milliseconds. */
export class RetryBudgets {
  private readonly budgets = new Map<string, RetryBudget>();

  of(pool: string, percent: number): RetryBudget {
    const options = {percent, minPerSecond: MIN_RETRIES_PER_SECOND};
    const known = this.budgets.get(pool);
    if (known !== undefined) {
      known.configure(options);
      return known;
    }
    const budget = new RetryBudget(options, performance.now());
    this.budgets.set(pool, budget);
    return budget;
  }
}
