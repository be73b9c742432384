/** Tracks which customer usage totals each control instance has accepted. */

import {isDeepStrictEqual} from 'node:util';
import type {CustomerUsage, PollAnswer, PollRequest} from '../core/wire';

/**
 * Equals the interval at which a leader logs usage. Reports carry totals, not
 * increments, so that losing one does no harm.
 */
const REPORT_INTERVAL_MS = 5_000;

/** The usage sent with one poll. */
export interface UsageReport {
  /** Fields for the poll request. */
  readonly part: Pick<PollRequest, 'usage' | 'usagePart'>;
  /** Rows that the instance holds once it has accepted the report. */
  readonly rows: readonly CustomerUsage[];
}

/** State for one control instance. */
export class UsageTracker {
  private readonly confirmedRows = new Map<string, CustomerUsage>();
  private sentAtMs = -Infinity;

  /**
   * Returns the rows that the instance is not known to hold; undefined when
   * there are none or the last report is too recent. Sent with every poll,
   * usage would be most of the bytes that an entry sends.
   */
  nextReport(
    totals: readonly CustomerUsage[],
    nowMs: number
  ): UsageReport | undefined {
    if (nowMs - this.sentAtMs < REPORT_INTERVAL_MS) return undefined;
    this.sentAtMs = nowMs;
    const rows = totals.filter(
      row => !isDeepStrictEqual(this.confirmedRows.get(row.customer), row)
    );
    if (rows.length === 0) return undefined;
    const part =
      this.confirmedRows.size === 0
        ? {usage: rows}
        : {usage: rows, usagePart: true};
    return {part, rows};
  }

  /** Skips the rest of the interval: the next poll carries a report. */
  reportAtNextPoll(): void {
    this.sentAtMs = -Infinity;
  }

  /**
   * Handles the reply to a report. An instance that has restarted, or has
   * dropped this boot, lacks the rows that were not sent: it would take a
   * partial report for all of this entry's usage, so the next one is complete.
   */
  handleReply({rows}: UsageReport, {usageAgain}: PollAnswer): void {
    if (usageAgain === false)
      return rows.forEach(row => this.confirmedRows.set(row.customer, row));
    this.confirmedRows.clear();
    if (usageAgain) this.reportAtNextPoll();
  }
}
