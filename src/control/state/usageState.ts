/** Usage by customer, summed over the boots of all entries, for billing. */

import type {CustomerUsage} from '../../core/wire';
import type {UsageCommand} from './command';

/** Boots kept separately; the least recent ones are folded into one sum. */
const MAX_BOOTS = 4_096;
/** Folded boots whose ids are kept; about a month of restarts. */
const MAX_FOLDED_BOOTS = 100_000;

/** Usage as stored in snapshots. */
export interface UsageSnapshot {
  readonly folded: readonly CustomerUsage[];
  readonly boots: readonly (readonly [string, readonly CustomerUsage[]])[];
  readonly foldedBoots?: readonly string[];
}

/** Adds up the totals that each boot reports. */
export class UsageState {
  private folded: readonly CustomerUsage[] = [];
  private boots = new Map<string, readonly CustomerUsage[]>();
  private foldedBoots = new Set<string>();

  /**
   * Totals replace earlier ones of the same boot, so a repeated report adds
   * nothing. A new leader proposes the totals of all boots that reported to it,
   * including stopped ones. Those that are already folded into the sum are
   * skipped, or their customers would be billed twice.
   */
  apply(command: UsageCommand): void {
    if (this.foldedBoots.has(command.entryBootId)) return;
    this.boots.delete(command.entryBootId);
    this.boots.set(command.entryBootId, command.totals);
    if (this.boots.size <= MAX_BOOTS) return;
    for (const [bootId, totals] of this.boots) return this.fold(bootId, totals);
  }

  /** Whether these totals of the boot are already included. */
  covers(entryBootId: string, totals: readonly CustomerUsage[]): boolean {
    if (this.foldedBoots.has(entryBootId)) return true;
    const rows = this.boots.get(entryBootId) ?? [];
    const held = new Map(rows.map(row => [row.customer, row]));
    return totals.every(({customer, requests, tokens, queueMs}) => {
      const row = held.get(customer);
      return (
        row !== undefined &&
        row.requests >= requests &&
        row.tokens >= tokens &&
        row.queueMs >= queueMs
      );
    });
  }

  private fold(bootId: string, totals: readonly CustomerUsage[]): void {
    this.folded = sumUsage([...this.folded, ...totals]);
    this.boots.delete(bootId);
    this.foldedBoots.add(bootId);
    for (const oldest of this.foldedBoots) {
      if (this.foldedBoots.size <= MAX_FOLDED_BOOTS) return;
      this.foldedBoots.delete(oldest);
    }
  }

  totals(): readonly CustomerUsage[] {
    return sumUsage([...this.folded, ...[...this.boots.values()].flat()]);
  }

  snapshot(): UsageSnapshot {
    return {
      folded: this.folded,
      boots: [...this.boots],
      foldedBoots: [...this.foldedBoots],
    };
  }

  restore(snapshot: UsageSnapshot): void {
    this.folded = snapshot.folded;
    this.boots = new Map(snapshot.boots);
    this.foldedBoots = new Set(snapshot.foldedBoots);
  }
}

/** Adds up rows to one row per customer. */
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
