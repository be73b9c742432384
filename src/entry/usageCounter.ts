/** Use by customer since this entry started. */

import type {CustomerUsage} from '../core/wire';

type Total = {-readonly [Key in keyof CustomerUsage]: CustomerUsage[Key]};

/** Totals only grow, so a report that is lost or doubled does no harm. */
export class UsageCounter {
  private readonly totals = new Map<string, Total>();

  add(customer: string, use: Partial<Omit<CustomerUsage, 'customer'>>): void {
    const sum = this.totalOf(customer);
    sum.requests += use.requests ?? 0;
    sum.tokens += use.tokens ?? 0;
    sum.queueMs += use.queueMs ?? 0;
  }

  report(): readonly CustomerUsage[] {
    return [...this.totals.values()].map(total => ({...total}));
  }

  /** Changed in place: it is added to with every token. */
  private totalOf(customer: string): Total {
    const known = this.totals.get(customer);
    if (known !== undefined) return known;
    const total = {customer, requests: 0, tokens: 0, queueMs: 0};
    this.totals.set(customer, total);
    return total;
  }
}
