/** Usage that entries have reported to this instance since its start. */

import type {CustomerUsage} from '../core/wire';

/** How long a boot is kept after its last report once its usage is logged. */
const LOGGED_RETENTION_MS = 60_000;

type Rows = ReadonlyMap<string, CustomerUsage>;

/** The usage of one boot of an entry process. */
interface BootUsage {
  readonly rows: Rows;
  readonly lastReportAtMs: number;
}

/** Totals that are in the replicated log. */
export interface LoggedUsage {
  /** Whether the log holds at least these totals of the boot. */
  covers(entryBootId: string, totals: readonly CustomerUsage[]): boolean;
}

/** Totals of a boot that the log does not hold yet. */
export interface UsageToLog {
  readonly entryBootId: string;
  readonly totals: readonly CustomerUsage[];
}

/** Reported totals by boot. */
export class UsageTable {
  private readonly boots = new Map<string, BootUsage>();

  constructor(private readonly logged: LoggedUsage) {}

  /**
   * Returns whether all rows of the boot are known here. A partial report of an
   * unknown boot is rejected: if it were logged as the totals of the boot, it
   * would replace the rows that are missing here.
   */
  report(
    entryBootId: string,
    rows: readonly CustomerUsage[],
    isPart: boolean,
    nowMs: number
  ): boolean {
    const known = this.boots.get(entryBootId);
    if (isPart && known === undefined) return false;
    const merged = new Map(known?.rows);
    for (const row of rows)
      merged.set(row.customer, maxTotals(merged.get(row.customer), row));
    this.boots.set(entryBootId, {rows: merged, lastReportAtMs: nowMs});
    return true;
  }

  /**
   * Totals that the log lacks, for the leader to propose. Also drops boots that
   * stopped reporting and whose totals are in the log.
   */
  listUnlogged(nowMs: number): readonly UsageToLog[] {
    const unlogged: UsageToLog[] = [];
    for (const [entryBootId, {rows, lastReportAtMs}] of this.boots) {
      const totals = [...rows.values()];
      if (!this.logged.covers(entryBootId, totals))
        unlogged.push({entryBootId, totals});
      else if (nowMs - lastReportAtMs > LOGGED_RETENTION_MS)
        this.boots.delete(entryBootId);
    }
    return unlogged;
  }
}

/** Totals only grow, so the larger one wins if reports arrive out of order. */
function maxTotals(
  known: CustomerUsage | undefined,
  row: CustomerUsage
): CustomerUsage {
  if (known === undefined) return row;
  return {
    customer: row.customer,
    requests: Math.max(known.requests, row.requests),
    tokens: Math.max(known.tokens, row.tokens),
    queueMs: Math.max(known.queueMs, row.queueMs),
  };
}
