/**
 * Rate limits of targets at the leader: which limit is in force, and who may use it.
 * The limit stands in the record of the target, so that it outlives the leader.
 */

import type {Logger} from '../core/logger';
import {RateAllocator} from '../policy/rateAllocator';
import {StatedLimit} from '../policy/statedLimit';
import type {LimitReport} from './messages';
import type {TargetBoot} from './nodeRateLimits';
import type {TargetTable} from './targetTable';

/** Bounds of the time at which a report was made, on the leader's clock. */
export interface ReportTime {
  readonly earliestMs: number;
  readonly latestMs: number;
}

/** A node that has just reported, and what it would use tokens for. */
export interface TokenRequest {
  readonly node: string;
  readonly reports: readonly LimitReport[];
  /** Targets that it holds permits for. */
  readonly permitted: ReadonlySet<string>;
  /** Period in which each node reports, milliseconds. */
  readonly reportPeriodMs: number;
}

interface LimitedBoot {
  readonly bornMs: number;
  readonly stated: StatedLimit;
  readonly allocator: RateAllocator;
  /** Time of the last report on it. */
  reportedAtMs: number;
}

/**
 * Time for which a target without a record, or whose limit has ended, is remembered:
 * a report on its limit may still be under way.
 */
const KEEP_MS = 60_000;

/** Limits by target id; soft state of one term. */
export class LeaderRateLimits {
  private readonly boots = new Map<string, LimitedBoot>();

  constructor(
    private readonly table: TargetTable,
    private readonly logger: Logger
  ) {}

  /** Whether no target has, or had recently, a rate limit. */
  get isEmpty(): boolean {
    return this.boots.size === 0;
  }

  /** Starts a term with the limits that the records have. */
  reset(nowMs: number): void {
    this.boots.clear();
    for (const record of this.table.records()) {
      const {rateLimit: perSecond} = record;
      if (perSecond === undefined) continue;
      this.bootFor(record, perSecond, nowMs)?.stated.add({
        perSecond,
        notBeforeMs: -Infinity,
        notAfterMs: nowMs,
      });
    }
  }

  /** Takes what a node read in responses, and the tokens that it returns. */
  handleReports(
    node: string,
    reports: readonly LimitReport[],
    time: ReportTime,
    nowMs: number
  ): void {
    for (const report of reports) {
      this.addEvidence(node, report, time, nowMs);
      // Tokens of an earlier leader are not a part of this one's.
      if (time.earliestMs > -Infinity)
        this.find(report)?.allocator.refund(report.unused, nowMs);
    }
  }

  /** Puts known limits into records that were merged just now. */
  applyTo(records: readonly TargetBoot[]): void {
    for (const {id} of records) this.apply(id);
  }

  /** Tokens by target id for a node that has just reported. */
  grant(
    {node, reports, permitted, reportPeriodMs}: TokenRequest,
    nowMs: number
  ): Record<string, number> {
    const reportById = new Map(reports.map(report => [report.id, report]));
    const tokens: Record<string, number> = {};
    for (const id of new Set([...reportById.keys(), ...permitted])) {
      const boot = this.boots.get(id);
      const bornMs = reportById.get(id)?.bornMs ?? this.table.find(id)?.bornMs;
      if (boot === undefined || boot.bornMs !== bornMs) continue;
      if (boot.stated.perSecond === Infinity) continue;
      const waiting = reportById.get(id)?.wanted ?? 0;
      const hasPermits = permitted.has(id);
      const demand = {node, waiting, hasPermits, reportPeriodMs};
      const count = boot.allocator.grant(demand, nowMs);
      if (count > 0) tokens[id] = count;
    }
    return tokens;
  }

  /** Takes account of a call that a node makes without a token. */
  charge(id: string, nowMs: number): void {
    this.boots.get(id)?.allocator.charge(1, nowMs);
  }

  /** Evicts targets that have restarted, are gone, or have no limit any more. */
  evict(nowMs: number): void {
    for (const [id, {bornMs, stated, reportedAtMs}] of this.boots) {
      const record = this.table.find(id);
      const isIdle = record === undefined || stated.perSecond === Infinity;
      const isOutdated = isIdle && nowMs - reportedAtMs > KEEP_MS;
      const hasRestarted = record !== undefined && record.bornMs > bornMs;
      if (isOutdated || hasRestarted) this.boots.delete(id);
    }
  }

  private addEvidence(
    node: string,
    report: LimitReport,
    time: ReportTime,
    nowMs: number
  ): void {
    const {id, bornMs, evidence} = report;
    if (evidence === undefined) return;
    const boot = this.bootFor(report, evidence.perSecond, nowMs);
    if (boot === undefined) return;
    boot.reportedAtMs = nowMs;
    const {perSecond: before} = boot.stated;
    const isChanged = boot.stated.add({
      perSecond: evidence.perSecond ?? Infinity,
      notBeforeMs: time.earliestMs - evidence.maxAgeMs,
      notAfterMs: time.latestMs - evidence.minAgeMs,
    });
    if (!isChanged) return;
    const limit = this.apply(id);
    boot.allocator.setLimit(limit ?? 0, nowMs);
    this.logger.info(
      {
        event: 'target.limited',
        target: id,
        bornMs,
        limit,
        before: before === Infinity ? undefined : before,
        node,
      },
      limit === undefined
        ? `target ${id} has no rate limit any more`
        : `target ${id} gets at most ${limit} requests per second`
    );
  }

  /** The state that evidence changes; undefined when it changes none. */
  private bootFor(
    target: TargetBoot,
    limit: number | null,
    nowMs: number
  ): LimitedBoot | undefined {
    const {id, bornMs} = target;
    const known = this.find(target);
    if (known !== undefined) return known;
    const latestBornMs = Math.max(
      this.boots.get(id)?.bornMs ?? -Infinity,
      this.table.find(id)?.bornMs ?? -Infinity
    );
    if (limit === null || bornMs < latestBornMs) return undefined;
    const boot = {
      bornMs,
      stated: new StatedLimit(),
      allocator: new RateAllocator(limit, nowMs),
      reportedAtMs: nowMs,
    };
    this.boots.set(id, boot);
    return boot;
  }

  private find({id, bornMs}: TargetBoot): LimitedBoot | undefined {
    const boot = this.boots.get(id);
    return boot?.bornMs === bornMs ? boot : undefined;
  }

  /** Puts the limit into the record, if it is known here; returns the limit. */
  private apply(id: string): number | undefined {
    const boot = this.boots.get(id);
    if (boot === undefined) return undefined;
    const {perSecond} = boot.stated;
    const limit = perSecond === Infinity ? undefined : perSecond;
    // The record of a new leader may come later than the report on its limit.
    if (this.table.find(id)?.bornMs === boot.bornMs)
      this.table.setRateLimit(id, limit);
    return limit;
  }
}
