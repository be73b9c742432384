/** Use that entries have reported to this instance since it started. */

import type {CustomerUsage} from '../core/wire';

/** Totals by entry boot, with what has changed since they were last logged. */
export class UsageTable {
  private readonly totals = new Map<string, readonly CustomerUsage[]>();
  private readonly changed = new Set<string>();

  report(entryBootId: string, totals: readonly CustomerUsage[]): void {
    const known = this.totals.get(entryBootId);
    if (JSON.stringify(known) === JSON.stringify(totals)) return;
    this.totals.set(entryBootId, totals);
    this.changed.add(entryBootId);
  }

  /** What has changed since the last call; a leader puts it into the log. */
  takeChanged(): readonly {
    readonly entryBootId: string;
    readonly totals: readonly CustomerUsage[];
  }[] {
    const taken = [...this.changed].map(entryBootId => ({
      entryBootId,
      totals: this.totals.get(entryBootId) ?? [],
    }));
    this.changed.clear();
    return taken;
  }
}
