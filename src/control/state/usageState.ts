/** Use by customer, summed over the boots of all entries, for charging. */

import type {CustomerUsage} from '../../core/wire';
import type {UsageCommand} from './command';

/** Boots whose counters are kept apart; older ones are folded into one sum. */
const MAX_BOOTS = 64;

/** Use as stored in snapshots. */
export interface UsageSnapshot {
  readonly folded: readonly CustomerUsage[];
  readonly boots: readonly (readonly [string, readonly CustomerUsage[]])[];
}

/** Adds up counters that each entry boot reports as totals. */
export class UsageState {
  private folded: readonly CustomerUsage[] = [];
  private boots = new Map<string, readonly CustomerUsage[]>();

  /** Totals replace earlier ones of the same boot, so a resend adds nothing. */
  apply(command: UsageCommand): void {
    this.boots.delete(command.entryBootId);
    this.boots.set(command.entryBootId, command.totals);
    if (this.boots.size <= MAX_BOOTS) return;
    for (const [bootId, totals] of this.boots) {
      this.folded = sumUsage([...this.folded, ...totals]);
      this.boots.delete(bootId);
      return;
    }
  }

  totals(): readonly CustomerUsage[] {
    return sumUsage([...this.folded, ...[...this.boots.values()].flat()]);
  }

  snapshot(): UsageSnapshot {
    return {folded: this.folded, boots: [...this.boots]};
  }

  restore(snapshot: UsageSnapshot): void {
    this.folded = snapshot.folded;
    this.boots = new Map(snapshot.boots);
  }
}

/** One row a customer. */
export function sumUsage(
  rows: readonly CustomerUsage[]
): readonly CustomerUsage[] {
  const sums = new Map<string, CustomerUsage>();
  for (const row of rows) {
    const sum = sums.get(row.customer);
    sums.set(row.customer, {
      customer: row.customer,
      requests: row.requests + (sum?.requests ?? 0),
      tokens: row.tokens + (sum?.tokens ?? 0),
      queueMs: row.queueMs + (sum?.queueMs ?? 0),
    });
  }
  return [...sums.values()];
}
