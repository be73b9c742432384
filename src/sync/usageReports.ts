/** What each control instance holds of the use counted here. */

import {isDeepStrictEqual} from 'node:util';
import type {CustomerUsage, PollAnswer, PollRequest} from '../core/wire';

/** As often as a leader logs use; totals, so that a lost report does no harm. */
const PERIOD_MS = 5_000;

/** One report, and the rows that its answer will show to be held. */
export interface UsageReport {
  readonly part: Pick<PollRequest, 'usage' | 'usagePart'>;
  readonly rows: readonly CustomerUsage[];
}

/** One control instance. */
export class UsageTo {
  private readonly held = new Map<string, CustomerUsage>();
  private sentAtMs = -Infinity;

  /**
   * Rows that changed, where an answer has shown the others to be held. Not with
   * every poll, or they would be most of what an entry sends.
   */
  due(
    totals: readonly CustomerUsage[],
    nowMs: number
  ): UsageReport | undefined {
    if (nowMs - this.sentAtMs < PERIOD_MS) return undefined;
    this.sentAtMs = nowMs;
    const rows = totals.filter(
      row => !isDeepStrictEqual(this.held.get(row.customer), row)
    );
    if (rows.length === 0) return undefined;
    const part =
      this.held.size === 0 ? {usage: rows} : {usage: rows, usagePart: true};
    return {part, rows};
  }

  /** The next poll reports. */
  soon(): void {
    this.sentAtMs = -Infinity;
  }

  /**
   * An instance that has restarted, or forgot this boot, lacks the other rows:
   * a part would stand there as all of this entry's use.
   */
  answered({rows}: UsageReport, {usageAgain}: PollAnswer): void {
    if (usageAgain === false)
      return rows.forEach(row => this.held.set(row.customer, row));
    this.held.clear();
    if (usageAgain) this.soon();
  }
}
