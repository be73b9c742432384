/** Use by customer since this entry started. */

import type {CustomerUsage} from '../core/wire';

/** Totals only grow, so a report that is lost or doubled does no harm. */
export class UsageCounter {
  private readonly totals = new Map<string, CustomerUsage>();

  add(customer: string, use: Partial<Omit<CustomerUsage, 'customer'>>): void {
    const sum = this.totals.get(customer);
    this.totals.set(customer, {
      customer,
      requests: (sum?.requests ?? 0) + (use.requests ?? 0),
      tokens: (sum?.tokens ?? 0) + (use.tokens ?? 0),
      queueMs: (sum?.queueMs ?? 0) + (use.queueMs ?? 0),
    });
  }

  report(): readonly CustomerUsage[] {
    return [...this.totals.values()];
  }
}
