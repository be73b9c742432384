/** Use that entries have reported to this instance since it started. */

import type {CustomerUsage} from '../core/wire';

/** Silence after which a boot whose use is logged is forgotten. */
const LOGGED_RETENTION_MS = 60_000;

type Rows = ReadonlyMap<string, CustomerUsage>;

/** One entry boot. */
interface BootUsage {
  readonly rows: Rows;
  readonly lastReportAtMs: number;
}

/** Totals that are in the log. */
export interface LoggedUsage {
  /** Whether the log holds at least these totals of a boot. */
  covers(entryBootId: string, totals: readonly CustomerUsage[]): boolean;
}

/** A boot's totals, to be logged. */
export interface UsageToLog {
  readonly entryBootId: string;
  readonly totals: readonly CustomerUsage[];
}

/** Totals by entry boot. */
export class UsageTable {
  private readonly boots = new Map<string, BootUsage>();

  constructor(private readonly logged: LoggedUsage) {}

  /**
   * Returns whether all rows of the boot are held. A part of the rows of a boot
   * that is not known is not taken in: logged as its totals, it would take the
   * place of the others.
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

  /** What the log lacks; a leader puts it in. Forgets what nobody needs. */
  listUnlogged(nowMs: number): readonly UsageToLog[] {
    const unlogged: UsageToLog[] = [];
    for (const [entryBootId, {rows, lastReportAtMs: heardAtMs}] of this.boots) {
      const totals = [...rows.values()];
      if (!this.logged.covers(entryBootId, totals))
        unlogged.push({entryBootId, totals});
      else if (nowMs - heardAtMs > LOGGED_RETENTION_MS)
        this.boots.delete(entryBootId);
    }
    return unlogged;
  }
}

/** Totals only grow: of two reports that came in reverse the larger holds. */
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
