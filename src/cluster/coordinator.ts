/**
 * The leader's work beside the log: it merges the target records of all nodes
 * and allocates the concurrency of each service to the nodes. All of this is
 * soft state, which a new leader rebuilds from one report of each node.
 */

import type {Logger} from '../core/logger';
import {unusedConcurrency} from '../policy/admission/concurrencyAllocation';
import {GroupLimits} from '../policy/admission/groupLimits';
import type {MapOutlook} from '../policy/mapOutlook';
import {NO_GOALS, streamGoals} from '../site/streamGoals';
import type {Site} from '../site/site';
import type {ZoneRevisions} from '../control/state/siteState';
import {DEFAULT_ADMISSION_FLOOR, LeaderAdmission} from './leaderAdmission';
import {LeaderQuarantine} from './leaderQuarantine';
import {LeaderRateLimits} from './leaderRateLimits';
import {LimitChangeLogger} from './limitChangeLogger';
import type {NodeInfo, ServiceGrant, SyncParams, SyncState} from './messages';
import type {NodeReport} from './nodeReports';
import type {QuarantineChange, QuarantineChangeEnd} from './quarantineMessages';
import {
  NodeReports,
  demandsOf,
  inFlightOf,
  loadsOf,
  isClosedToAll,
} from './nodeReports';
import {TargetPermits} from '../policy/targetPermits';
import type {ServiceConcurrency} from './serviceConcurrency';
import {
  computeConcurrency,
  medianPassMs,
  tightestLimitReason,
} from './serviceConcurrency';
import type {TargetTable} from './targetTable';

/** Interval between two checks for silent targets. */
const EXPIRE_CHECK_INTERVAL_MS = 50;
/** Shares are computed once for all nodes that report within this time. */
const SHARES_INTERVAL_MS = 50;
/** Report periods in which a new leader receives the loads of all nodes. */
const REPORT_COLLECT_PERIODS = 4;

/** How the concurrency of one service is allocated. */
interface ServiceShares {
  /** Concurrent requests by the address of the node. */
  readonly byNode: ReadonlyMap<string, number>;
  readonly free: number;
  readonly concurrency: ServiceConcurrency;
}

/** The known nodes, with a revision that increases with each change. */
export interface NodeList {
  readonly revision: number;
  all(): readonly NodeInfo[];
}

/** Replicated state that is part of each reply. */
export interface ReplicatedView {
  readonly term: number;
  readonly index: number;
  readonly siteVersion: number;
  readonly packedSite: string;
  readonly zonesOut: readonly string[];
  readonly zoneRevisions?: ZoneRevisions;
}

/** Handles the reports of nodes on the leader. */
export class Coordinator {
  private readonly reports = new NodeReports();
  private readonly limits = new Map<string, GroupLimits>();
  private shares = new Map<string, ServiceShares>();
  private readonly permits = new Map<string, TargetPermits>();
  private sharesUpdatedAtMs = -Infinity;
  private resetAtMs = -Infinity;
  private expireCheckedAtMs = -Infinity;
  private readonly limitLogger: LimitChangeLogger;
  private readonly rateLimits: LeaderRateLimits;
  private readonly quarantine: LeaderQuarantine;
  /** Ratios by which nodes shed load of prioritized services. */
  readonly admission: LeaderAdmission;

  constructor(
    private readonly table: TargetTable,
    private readonly logger: Logger,
    private readonly nowMs: () => number,
    /** Silence after which a target counts as lost, milliseconds. */
    private readonly silentAfterMs: number,
    /** Outlook of a group's map; undefined while nothing controls its maps. */
    private readonly outlookOf: (
      service: string,
      group: string
    ) => MapOutlook | undefined,
    /** Part of its demand that each urgency keeps under overload. */
    admissionFloor = DEFAULT_ADMISSION_FLOOR
  ) {
    this.limitLogger = new LimitChangeLogger(logger);
    this.rateLimits = new LeaderRateLimits(table, logger);
    this.quarantine = new LeaderQuarantine(logger);
    this.admission = new LeaderAdmission(logger, admissionFloor);
  }

  /**
   * Starts a new term: drops all reports and restarts the targets' silence
   * timers. A follower receives only changed records, for most targets long ago.
   * Without the restart, a new leader would mark these targets silent, and no
   * node could use them until each had announced itself again.
   */
  reset(): void {
    this.reports.clear();
    this.permits.clear();
    for (const limits of this.limits.values()) limits.restart();
    this.admission.reset();
    this.table.markAllSeen(this.nowMs());
    this.resetAtMs = this.nowMs();
    this.rateLimits.reset(this.nowMs());
    this.quarantine.reset(this.nowMs());
  }

  /** Applies all departures in the log to the table, in a new term. */
  applyDepartures(): void {
    for (const {id} of this.table.records()) this.applyDeparture(id);
  }

  /** Applies the departure of a target, which the log has by now. */
  applyDeparture(id: string): void {
    this.table.applyDeparture(id, this.nowMs());
  }

  /** Whether a record of the target is in the table. */
  hasRecord(id: string): boolean {
    return this.table.find(id) !== undefined;
  }

  /** Handles a report; replies with what the node lacks of the view. */
  sync(
    params: SyncParams,
    replicated: ReplicatedView,
    site: Site | undefined,
    nodes: NodeList
  ): SyncState {
    const now = this.nowMs();
    for (const record of params.records)
      if (this.table.merge(record, now))
        this.logMergedRecord(params.from, record.id);
    this.expire(now);
    const sinceLastMs = this.reports.sinceLastMs(params, now);
    this.reports.add(params, now);
    this.admission.handleReport(params, site, {nowMs: now, sinceLastMs});
    const isSameTerm = params.tableTerm === replicated.term;
    const {leaderTimeMs = -Infinity} = params;
    const {limits = [], from, records} = params;
    this.rateLimits.applyTo(records);
    this.rateLimits.handleReports(
      from.ip,
      limits,
      {earliestMs: isSameTerm ? leaderTimeMs : -Infinity, latestMs: now},
      now
    );
    this.quarantine.handleReport(params.quarantine, now);
    const grants = this.grantsFor(from.ip, site, replicated.zonesOut, nodes);
    const sinceRevision = isSameTerm ? params.tableRevision : 0;
    const {term, index, siteVersion, packedSite, zonesOut, zoneRevisions} =
      replicated;
    return {
      kind: 'state',
      term,
      index,
      nodes:
        isSameTerm && params.nodesRevision === nodes.revision
          ? []
          : [...nodes.all()],
      nodesRevision: nodes.revision,
      siteVersion,
      ...(params.siteVersion < siteVersion ? {packedSite} : {}),
      zonesOut: [...zonesOut],
      zoneRevisions,
      tableRevision: this.table.revision,
      records: [...this.table.changedSince(sinceRevision)],
      grants,
      tokens: this.tokensFor(params, grants),
      quarantine: this.quarantine.state(now, this.reports.periodMs),
      leaderTimeMs: Math.floor(now),
      activeNodes: this.reports.active(now).length,
    };
  }

  /** Applies a change of an operator to the parts in quarantine. */
  changeQuarantine(change: QuarantineChange): QuarantineChangeEnd {
    return this.quarantine.change(change, this.nowMs());
  }

  /** Counts a call to a target that was made without a token. */
  chargeCall(id: string): void {
    this.rateLimits.charge(id, this.nowMs());
  }

  /** Median of the pass durations that nodes reported; 0 without streams. */
  passMs(service: string, group: string): number {
    const reports = this.reports.active(this.nowMs());
    return medianPassMs(loadsOf(service, reports), group);
  }

  /** Running requests of all nodes in a group, or at an ungrouped service. */
  runningRequests(service: string, group: string): number {
    const groups = this.shares.get(service)?.concurrency.groups ?? [];
    const known = groups.find(({name}) => name === group);
    if (known !== undefined) return known.running;
    return inFlightOf(loadsOf(service, this.reports.active(this.nowMs())));
  }

  /** Nodes with a recent report. */
  recentNodes(): readonly NodeInfo[] {
    return this.reports.recentNodes(this.nowMs());
  }

  private expire(now: number): void {
    if (now - this.expireCheckedAtMs < EXPIRE_CHECK_INTERVAL_MS) return;
    this.expireCheckedAtMs = now;
    this.table.expire(now, this.silentAfterMs);
    this.rateLimits.evict(now);
  }

  private grantsFor(
    node: string,
    site: Site | undefined,
    zonesOut: readonly string[],
    nodes: NodeList
  ): ServiceGrant[] {
    if (site === undefined) return [];
    const reports = this.reports.active(this.nowMs());
    this.updateShares(site, reports, zonesOut, nodes);
    return [...site.services.keys()].map(service => ({
      service,
      concurrency: this.shares.get(service)?.byNode.get(node) ?? 1,
      boundBy: this.boundBy(service),
      free: this.shares.get(service)?.free ?? 0,
      permits: this.permitsOf(node, service),
      shiftSkews: this.shiftSkewsOf(service),
      ...this.admission.grantOf(service),
    }));
  }

  /** Tokens for a node that has just reported and gets these grants. */
  private tokensFor(
    {from, limits: reports = []}: SyncParams,
    grants: readonly ServiceGrant[]
  ): Record<string, number> {
    if (this.rateLimits.isEmpty) return {};
    const permitted = targetsIn(grants);
    const reportPeriodMs = this.reports.periodMs;
    const request = {node: from.ip, reports, permitted, reportPeriodMs};
    return this.rateLimits.grant(request, this.nowMs());
  }

  private boundBy(service: string): string | undefined {
    const shares = this.shares.get(service);
    return shares === undefined
      ? undefined
      : tightestLimitReason(shares.concurrency);
  }

  private updateShares(
    site: Site,
    reports: readonly NodeReport[],
    zonesOut: readonly string[],
    nodes: NodeList
  ): void {
    const now = this.nowMs();
    if (now - this.sharesUpdatedAtMs < SHARES_INTERVAL_MS) return;
    this.sharesUpdatedAtMs = now;
    const goals = streamGoals(site);
    // Slots in zones that are out must not count: they would admit more requests
    // than the other targets can run, and the rest would queue at the targets,
    // where the balancer does not see them.
    const records = this.table
      .records()
      .filter(({availabilityZone}) => !zonesOut.includes(availabilityZone));
    this.shares = new Map(
      [...site.services.values()].map(service => {
        const {name} = service;
        const loads = loadsOf(name, reports);
        const concurrency = computeConcurrency(this.limitsOf(name), {
          service,
          records,
          loads,
          goals: goals.get(name) ?? NO_GOALS,
          allNodesReported: this.allNodesReported,
          isPrioritized: this.admission.isPrioritized(name),
          reportPeriodMs: this.reports.periodMs,
          isClosed: id => isClosedToAll(id, reports),
          outlookOf: group => this.outlookOf(name, group),
          nowMs: now,
        });
        this.limitLogger.logIfChanged(name, concurrency, loads);
        this.updatePermits(name, concurrency);
        const {total, groups} = concurrency;
        const isCollecting = !this.allNodesReported;
        const byNode = this.admission.allocate(name, reports, {
          capacity: total,
          isCapacityPartial:
            isCollecting && groups.some(({reason}) => reason === 'rise'),
          knownNodes: nodes.all().length,
          isCollecting,
          periodMs: this.reports.periodMs,
          nowMs: now,
        });
        const free = unusedConcurrency(total, demandsOf(name, reports));
        return [name, {byNode, free, concurrency}];
      })
    );
    const active = new Set(reports.map(({info}) => info.ip));
    for (const permits of this.permits.values()) permits.retain(active);
  }

  private limitsOf(service: string): GroupLimits {
    const limits = this.limits.get(service) ?? new GroupLimits();
    this.limits.set(service, limits);
    return limits;
  }

  private updatePermits(
    service: string,
    concurrency: ServiceConcurrency
  ): void {
    const {targets, groups} = concurrency;
    const permits = this.permits.get(service) ?? new TargetPermits();
    this.permits.set(service, permits);
    // A single group is already bounded by the total of all nodes.
    const hasSeveralGroups = groups.length > 1;
    permits.setTargets(
      targets,
      hasSeveralGroups
        ? new Map(groups.map(({name, concurrency}) => [name, concurrency]))
        : undefined
    );
  }

  private shiftSkewsOf(service: string): Record<string, number> {
    const groups = this.shares.get(service)?.concurrency.groups ?? [];
    return Object.fromEntries(
      groups.map(({name, outlook}) => [name, outlook.shiftSkew])
    );
  }

  /** Undefined until all nodes have reported; a node keeps its permits then. */
  private permitsOf(
    node: string,
    service: string
  ): Record<string, number> | undefined {
    const report = this.reports.find(node);
    if (report === undefined || !this.allNodesReported) return undefined;
    const shares = this.shares.get(service);
    const demand = {
      node,
      availabilityZone: report.info.availabilityZone,
      concurrency: shares?.byNode.get(node) ?? 1,
      inUse: report.loads.get(service)?.byTarget ?? {},
      excluded: report.closed,
    };
    const permits = this.permits.get(service)?.renew(demand) ?? new Map();
    return Object.fromEntries(permits);
  }

  /** Whether all nodes had time to report to this leader. */
  private get allNodesReported(): boolean {
    const {periodMs} = this.reports;
    return this.nowMs() - this.resetAtMs >= REPORT_COLLECT_PERIODS * periodMs;
  }

  private logMergedRecord(from: NodeInfo, id: string): void {
    const record = this.table.find(id);
    this.logger.debug({event: 'target.merged', from: from.ip, record}, id);
  }
}

/** Ids of the targets for which grants have permits. */
function targetsIn(grants: readonly ServiceGrant[]): ReadonlySet<string> {
  return new Set(
    grants.flatMap(({permits = {}}) =>
      Object.keys(permits).filter(id => (permits[id] ?? 0) > 0)
    )
  );
}
