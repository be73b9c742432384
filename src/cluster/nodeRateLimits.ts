/**
 * Rate limits of targets at one node: what it read in responses, and the tokens
 * that it holds.
 *
 * A limit is for all nodes together. The node tells the leader what it read; the
 * leader puts the limit into the record of the target, which reaches all nodes, and
 * grants tokens to those that need them.
 */

import {RateLease} from '../policy/rateLease';
import {reportPeriodMs} from '../policy/reportPeriod';
import {safeShare} from '../policy/safeShare';
import type {LimitEvidence} from '../policy/statedLimit';
import {StatedLimit} from '../policy/statedLimit';
import type {TargetRecord} from '../site/announcement';
import type {LimitReport, SyncState} from './messages';
import type {TargetTable} from './targetTable';

/** One boot of a target; what it asked for does not apply to the next one. */
export type TargetBoot = Pick<TargetRecord, 'id' | 'bornMs'>;

/** This node and all nodes that it knows, by address. */
export interface NodeIds {
  readonly self: string;
  /** Includes this node. */
  readonly all: readonly string[];
}

/**
 * Time without a reply after which a node counts as without a leader: some reports
 * were lost, and another leader could have been found.
 */
const LEADERLESS_AFTER_PERIODS = 3;
const LEADERLESS_AFTER_MS = 1_000;

/** Time for which a safe share is kept: it takes a hash of each known node. */
const SAFE_SHARE_REFRESH_MS = 1_000;

/** Age of evidence in reports at most, also of evidence whose age is not known. */
const MAX_AGE_MS = 3_600_000;

/** Requests in each window that were safe for a limit, as computed last. */
interface KnownShare {
  readonly share: number;
  readonly limit: number;
  readonly untilMs: number;
}

interface LimitedBoot {
  readonly bornMs: number;
  readonly lease: RateLease;
  safe: KnownShare;
  /** What this node read and the leader may not know. */
  unreported: StatedLimit | undefined;
  /** Requests since the last report that no target could take without a token. */
  shortage: number;
}

/** Limits and tokens by target id. */
export class NodeRateLimits {
  private readonly boots = new Map<string, LimitedBoot>();
  private repliedAtMs = -Infinity;
  private activeNodes = 1;

  constructor(
    private readonly table: TargetTable,
    private readonly nodeIds: () => NodeIds
  ) {}

  /** Requests per second that all nodes may send; Infinity without a limit. */
  limitOf(target: TargetBoot): number {
    const listed = this.listedLimit(target);
    const unreported = this.find(target)?.unreported?.perSecond ?? Infinity;
    return Math.min(listed, unreported);
  }

  /** Adds what a response states. */
  addEvidence(target: TargetBoot, evidence: LimitEvidence): void {
    const known = this.find(target)?.unreported;
    const isKnown = evidence.perSecond === this.listedLimit(target);
    if (isKnown && known === undefined) return;
    const boot = this.bootOf(target);
    boot.unreported ??= new StatedLimit();
    boot.unreported.add(evidence);
  }

  /** Reports the limits of this node's records that those of a leader lack. */
  reportMissingIn(leaderRecords: readonly TargetRecord[]): void {
    const limitById = new Map(
      leaderRecords.map(({id, rateLimit}) => [id, rateLimit])
    );
    for (const record of this.table.records()) {
      const {rateLimit: perSecond} = record;
      if (perSecond === undefined) continue;
      if ((limitById.get(record.id) ?? Infinity) <= perSecond) continue;
      const boot = this.bootOf(record);
      boot.unreported ??= new StatedLimit();
      const notAfterMs = this.repliedAtMs;
      boot.unreported.add({perSecond, notBeforeMs: -Infinity, notAfterMs});
    }
  }

  /** Whether a request may be sent to the target now. */
  allows(target: TargetBoot, nowMs: number): boolean {
    const limit = this.limitOf(target);
    if (limit === Infinity) return true;
    const share = this.isLeaderless(nowMs)
      ? this.safeShare(target, limit, nowMs)
      : 0;
    return this.bootOf(target).lease.allows(limit, share, nowMs);
  }

  /** Counts a request that is sent to the target. */
  spend(target: TargetBoot, nowMs: number): void {
    const limit = this.limitOf(target);
    if (limit !== Infinity) this.bootOf(target).lease.spend(limit, nowMs);
  }

  /** Notes a request that no target can take, and this one only with a token. */
  noteShortage(target: TargetBoot): void {
    this.bootOf(target).shortage++;
  }

  /** The part of a report on limits; restarts the count of shortages. */
  takeReports(nowMs: number): readonly LimitReport[] {
    const reports: LimitReport[] = [];
    for (const [id, boot] of this.boots) {
      const {bornMs, shortage, unreported} = boot;
      const limit = this.limitOf({id, bornMs});
      const unused = boot.lease.takeUnused(limit, nowMs);
      boot.shortage = 0;
      if (shortage + unused === 0 && unreported === undefined) continue;
      const evidence =
        unreported === undefined
          ? undefined
          : agesOf(unreported.evidence, nowMs);
      reports.push({id, bornMs, wanted: shortage, unused, evidence});
    }
    return reports;
  }

  /** Takes the reply to a report that was sent at `sentAtMs`. */
  applyReply(
    reply: SyncState,
    reports: readonly LimitReport[],
    sentAtMs: number,
    nowMs: number
  ): void {
    // A leader of an older version grants no tokens: it counts as none.
    if (reply.tokens === undefined) return;
    this.repliedAtMs = nowMs;
    this.activeNodes = reply.activeNodes;
    for (const report of reports) this.acknowledge(report);
    for (const [id, count] of Object.entries(reply.tokens)) {
      const record = this.table.find(id);
      if (record === undefined) continue;
      const limit = this.limitOf(record);
      this.bootOf(record).lease.add(count, limit, sentAtMs);
    }
  }

  /** Evicts the state of targets that are gone or have restarted. */
  evict(): void {
    for (const [id, {bornMs}] of this.boots)
      if (this.table.find(id)?.bornMs !== bornMs) this.boots.delete(id);
  }

  /** The leader has what was reported, unless another response came meanwhile. */
  private acknowledge(report: LimitReport): void {
    const {evidence} = report;
    const boot = this.find(report);
    if (boot?.unreported === undefined || evidence === undefined) return;
    const reported = evidence.perSecond ?? Infinity;
    if (boot.unreported.perSecond === reported) boot.unreported = undefined;
  }

  private listedLimit({id, bornMs}: TargetBoot): number {
    const record = this.table.find(id);
    if (record?.bornMs !== bornMs) return Infinity;
    return record.rateLimit ?? Infinity;
  }

  private isLeaderless(nowMs: number): boolean {
    const periodMs = reportPeriodMs(this.activeNodes);
    const limitMs = LEADERLESS_AFTER_MS + LEADERLESS_AFTER_PERIODS * periodMs;
    return nowMs - this.repliedAtMs > limitMs;
  }

  private safeShare(target: TargetBoot, limit: number, nowMs: number): number {
    const boot = this.bootOf(target);
    if (boot.safe.limit === limit && nowMs < boot.safe.untilMs)
      return boot.safe.share;
    const {self: nodeId, all: nodeIds} = this.nodeIds();
    const share = safeShare({limit, targetId: target.id, nodeId, nodeIds});
    boot.safe = {share, limit, untilMs: nowMs + SAFE_SHARE_REFRESH_MS};
    return share;
  }

  private find({id, bornMs}: TargetBoot): LimitedBoot | undefined {
    const boot = this.boots.get(id);
    return boot?.bornMs === bornMs ? boot : undefined;
  }

  private bootOf(target: TargetBoot): LimitedBoot {
    const known = this.find(target);
    if (known !== undefined) return known;
    const {id, bornMs} = target;
    const boot = {
      bornMs,
      lease: new RateLease(),
      safe: {share: 0, limit: 0, untilMs: -Infinity},
      unreported: undefined,
      shortage: 0,
    };
    this.boots.set(id, boot);
    return boot;
  }
}

function agesOf(
  {perSecond, notBeforeMs, notAfterMs}: LimitEvidence,
  nowMs: number
): LimitReport['evidence'] {
  return {
    perSecond: perSecond === Infinity ? null : perSecond,
    maxAgeMs: Math.min(nowMs - notBeforeMs, MAX_AGE_MS),
    minAgeMs: Math.min(nowMs - notAfterMs, MAX_AGE_MS),
  };
}
