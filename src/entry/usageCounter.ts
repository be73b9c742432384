/** Usage by customer since this entry started. */

import type {CustomerUsage} from '../core/wire';

type Total = {-readonly [Key in keyof CustomerUsage]: CustomerUsage[Key]};

/** Totals only grow, so a lost or duplicated report does no harm. */
export class UsageCounter {
  private readonly totals = new Map<string, Total>();

  add(customer: string, usage: Partial<Omit<CustomerUsage, 'customer'>>): void {
    const total = this.totalOf(customer);
    total.requests += usage.requests ?? 0;
    total.tokens += usage.tokens ?? 0;
    total.queueMs += usage.queueMs ?? 0;
  }

  report(): readonly CustomerUsage[] {
    return [...this.totals.values()].map(total => ({...total}));
  }

  /** The mutable total: it is updated with every token, so it is not copied. */
  private totalOf(customer: string): Total {
    const existing = this.totals.get(customer);
    if (existing !== undefined) return existing;
    const total = {customer, requests: 0, tokens: 0, queueMs: 0};
    this.totals.set(customer, total);
    return total;
  }
}
