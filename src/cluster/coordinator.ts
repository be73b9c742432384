/**
 * What the leader of the log does for all nodes besides: it merges what they
 * heard of targets, and lends them the places of each service. All of this is
 * soft state; a new leader has it again after one report of each node.
 */

import type {Logger} from '../core/logger';
import {rounded} from '../core/rounded';
import {reportPeriodMs} from '../policy/reportPeriod';
import type {ShareDemand} from '../policy/shareAllocation';
import {freePlaces, allocateShares} from '../policy/shareAllocation';
import {GroupLimits} from '../policy/groupLimits';
import type {MapOutlook} from '../policy/mapOutlook';
import {NO_GOALS, streamGoals} from '../site/streamGoals';
import type {Site} from '../site/site';
import type {
  NodeInfo,
  ServiceGrant,
  ServiceLoad,
  SyncParams,
  SyncState,
} from './messages';
import {TargetPermits} from '../policy/targetPermits';
import type {ServiceConcurrency} from './serviceGroups';
import {
  concurrencyOf,
  medianPace,
  runningAt,
  tightestBound,
} from './serviceGroups';
import type {TargetTable} from './targetTable';

/**
 * A node that did not report for so long gets no share. Twenty reports: one
 * that is merely slow keeps what it has.
 */
const ACTIVE_FOR_MS = 2_000;
/** A node that missed so many reports may be lost. */
const RECENT_PERIODS = 4;
/** Between two looks for targets that fell silent. */
const EXPIRE_PERIOD_MS = 50;
/** Shares are worked out once for all nodes that report within this time. */
const SHARES_PERIOD_MS = 50;
/** A new leader has heard of the loads of all nodes after so many reports. */
const WHOLE_AFTER_PERIODS = 4;
/** Change of the places of a service that is logged, in parts of them. */
const LOGGED_PART = 0.1;
/** Part of an older count of arrivals that stays with each report. */
const ARRIVALS_DECAY = 0.7;

interface NodeReport {
  readonly info: NodeInfo;
  readonly bootId: string;
  readonly atMs: number;
  readonly loads: ReadonlyMap<string, ServiceLoad>;
  /** Smoothed arrivals by service. */
  readonly arrivals: ReadonlyMap<string, number>;
}

/** How the places of one service are lent. */
interface ServiceShares {
  /** Places by the address of the node. */
  readonly byNode: ReadonlyMap<string, number>;
  readonly free: number;
  readonly concurrency: ServiceConcurrency;
}

/** The nodes that are known, numbered by changes. */
export interface NodeList {
  readonly revision: number;
  all(): readonly NodeInfo[];
}

/** Replicated state that answers carry along. */
export interface AgreedView {
  readonly term: number;
  readonly index: number;
  readonly siteVersion: number;
  readonly packedSite: string;
  readonly zonesOut: readonly string[];
}

/** The leader's side of the reports. */
export class Coordinator {
  private readonly reports = new Map<string, NodeReport>();
  private readonly limits = new Map<string, GroupLimits>();
  private shares = new Map<string, ServiceShares>();
  private readonly permits = new Map<string, TargetPermits>();
  private sharesAtMs = -Infinity;
  private resetAtMs = -Infinity;
  private expiredAtMs = -Infinity;
  private readonly limitsLogged = new Map<
    string,
    {readonly total: number; readonly reasons: string}
  >();

  constructor(
    private readonly table: TargetTable,
    private readonly logger: Logger,
    private readonly nowMs: () => number,
    /** Silence after which a target counts as lost, milliseconds. */
    private readonly silentAfterMs: number,
    /** What is known of the expert maps of a group of a service. */
    private readonly outlookOf: (
      service: string,
      group: string
    ) => MapOutlook | undefined
  ) {}

  /**
   * Another term began: forgets all reports. A node that did not lead heard
   * only of changes, long ago of most targets; as a leader it would call them
   * silent, and nobody had a target until each had told of itself again.
   */
  reset(): void {
    this.reports.clear();
    this.permits.clear();
    this.table.hearAll(this.nowMs());
    this.resetAtMs = this.nowMs();
  }

  /** Takes in a report and answers with the whole view. */
  sync(
    params: SyncParams,
    agreed: AgreedView,
    site: Site | undefined,
    nodes: NodeList
  ): SyncState {
    const now = this.nowMs();
    for (const record of params.records)
      if (this.table.merge(record, now)) this.logMerged(params.from, record.id);
    this.expire(now);
    this.noteReport(params, now);
    const isKnownTable = params.tableTerm === agreed.term;
    const from = isKnownTable ? params.tableRevision : 0;
    const {term, index, siteVersion, packedSite, zonesOut} = agreed;
    return {
      kind: 'state',
      term,
      index,
      nodes:
        isKnownTable && params.nodesRevision === nodes.revision
          ? []
          : [...nodes.all()],
      nodesRevision: nodes.revision,
      siteVersion,
      ...(params.siteVersion < siteVersion ? {packedSite} : {}),
      zonesOut: [...zonesOut],
      tableRevision: this.table.revision,
      records: [...this.table.since(from)],
      grants: this.grantsFor(params.from.ip, site, agreed.zonesOut, nodes),
      activeNodes: this.activeReports().length,
    };
  }

  /** Pace of a group as the nodes reported it last; 0 when no stream runs. */
  paceMs(service: string, group: string): number {
    return medianPace(this.loadsOf(service), group);
  }

  /** Requests of all nodes at these targets, as they reported last. */
  runningRequests(
    service: string,
    targets: readonly {readonly id: string}[]
  ): number {
    return runningAt(targets, this.loadsOf(service));
  }

  private loadsOf(service: string): readonly ServiceLoad[] {
    return this.activeReports().flatMap(({loads}) => loads.get(service) ?? []);
  }

  private expire(now: number): void {
    if (now - this.expiredAtMs < EXPIRE_PERIOD_MS) return;
    this.expiredAtMs = now;
    this.table.expire(now, this.silentAfterMs);
  }

  /** Nodes whose reports are fresh. */
  recentNodes(): readonly NodeInfo[] {
    const periodMs = reportPeriodMs(this.reports.size);
    const oldest = this.nowMs() - RECENT_PERIODS * periodMs;
    return [...this.reports.values()]
      .filter(({atMs}) => atMs >= oldest)
      .map(({info}) => info);
  }

  private noteReport(params: SyncParams, now: number): void {
    const {from, bootId} = params;
    const before = this.reports.get(from.ip);
    const loads = new Map(params.loads.map(load => [load.service, load]));
    const arrivals = new Map<string, number>();
    for (const {service, arrivals: fresh} of params.loads) {
      const old = before?.arrivals.get(service) ?? 0;
      arrivals.set(service, old * ARRIVALS_DECAY + fresh);
    }
    this.reports.set(from.ip, {info: from, bootId, atMs: now, loads, arrivals});
  }

  private activeReports(): readonly NodeReport[] {
    const oldest = this.nowMs() - ACTIVE_FOR_MS;
    return [...this.reports.values()].filter(({atMs}) => atMs >= oldest);
  }

  private grantsFor(
    node: string,
    site: Site | undefined,
    zonesOut: readonly string[],
    nodes: NodeList
  ): ServiceGrant[] {
    if (site === undefined) return [];
    const reports = this.activeReports();
    this.renewShares(site, reports, zonesOut);
    const isProvisional = !this.isWhole;
    return [...site.services.keys()].map(service => ({
      service,
      concurrency: isProvisional
        ? this.evenShare(service, nodes)
        : (this.shares.get(service)?.byNode.get(node) ?? 1),
      isProvisional,
      boundBy: this.boundBy(service),
      free: this.shares.get(service)?.free ?? 0,
      permits: this.permitsOf(node, service),
      shiftSkews: this.shiftSkewsOf(service),
    }));
  }

  private boundBy(service: string): string | undefined {
    const shares = this.shares.get(service);
    return shares === undefined ? undefined : tightestBound(shares.concurrency);
  }

  /** Nodes that have not reported yet need as much as the others. */
  private evenShare(service: string, nodes: NodeList): number {
    const opening = this.shares.get(service)?.concurrency.opening ?? 0;
    const count = Math.max(nodes.all().length, this.activeReports().length);
    return Math.max(1, Math.floor(opening / count));
  }

  private renewShares(
    site: Site,
    reports: readonly NodeReport[],
    zonesOut: readonly string[]
  ): void {
    const now = this.nowMs();
    if (now - this.sharesAtMs < SHARES_PERIOD_MS) return;
    this.sharesAtMs = now;
    const goals = streamGoals(site);
    // Places where nothing may be sent would let twice as many requests in as
    // the others can take; they would wait at the targets, unseen.
    const records = this.table
      .records()
      .filter(({availabilityZone}) => !zonesOut.includes(availabilityZone));
    this.shares = new Map(
      [...site.services.values()].map(service => {
        const {name} = service;
        const loads = reports.flatMap(({loads}) => loads.get(name) ?? []);
        const concurrency = concurrencyOf(this.limitsOf(name), {
          service,
          records,
          loads,
          goals: goals.get(name) ?? NO_GOALS,
          isWhole: this.isWhole,
          outlookOf: group => this.outlookOf(name, group),
          nowMs: now,
        });
        this.logLimits(name, concurrency, loads);
        this.takeTargets(name, concurrency);
        const demands = demandsOf(name, reports);
        const byNode = allocateShares(concurrency.total, demands);
        const free = freePlaces(concurrency.total, demands);
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

  private takeTargets(service: string, concurrency: ServiceConcurrency): void {
    const {targets, groups} = concurrency;
    const permits = this.permits.get(service) ?? new TargetPermits();
    this.permits.set(service, permits);
    // The concurrency of all nodes together bounds a single group already.
    const isShared = groups.length > 1;
    permits.setTargets(
      targets,
      isShared
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

  /** Only what differs by a part that shows: limits are renewed all the time. */
  private logLimits(
    service: string,
    {total, groups}: ServiceConcurrency,
    loads: readonly ServiceLoad[]
  ): void {
    const reasons = groups.map(({name, reason}) => `${name} ${reason}`).join();
    const logged = this.limitsLogged.get(service);
    const isAlike =
      logged?.reasons === reasons &&
      Math.abs(total - logged.total) <= logged.total * LOGGED_PART;
    if (isAlike) return;
    this.limitsLogged.set(service, {total, reasons});
    const running = loads.reduce((sum, {inFlight}) => sum + inFlight, 0);
    const waiting = loads.reduce((sum, load) => sum + load.waiting, 0);
    this.logger.info(
      {
        event: 'places.changed',
        service,
        ...rounded({places: total, running, waiting}),
        groups: groups.map(({name, reason, outlook, ...figures}) => ({
          name,
          reason,
          ...rounded(figures),
          ...outlook,
        })),
      },
      'places of a service changed'
    );
  }

  /** Undefined until all loads are known: what a node has stays as it is. */
  private permitsOf(
    node: string,
    service: string
  ): Record<string, number> | undefined {
    const report = this.reports.get(node);
    if (report === undefined || !this.isWhole) return undefined;
    const shares = this.shares.get(service);
    const demand = {
      node,
      availabilityZone: report.info.availabilityZone,
      concurrency: shares?.byNode.get(node) ?? 1,
      inUse: report.loads.get(service)?.byTarget ?? {},
    };
    const permits = this.permits.get(service)?.renew(demand) ?? new Map();
    return Object.fromEntries(permits);
  }

  /** Whether all nodes had time to report to this leader. */
  private get isWhole(): boolean {
    const periodMs = reportPeriodMs(this.reports.size);
    return this.nowMs() - this.resetAtMs >= WHOLE_AFTER_PERIODS * periodMs;
  }

  private logMerged(from: NodeInfo, id: string): void {
    const record = this.table.find(id);
    this.logger.debug({event: 'target.merged', from: from.ip, record}, id);
  }
}

function demandsOf(
  service: string,
  reports: readonly NodeReport[]
): readonly ShareDemand[] {
  return reports.map(({info, loads, arrivals}) => {
    const load = loads.get(service);
    return {
      node: info.ip,
      wanted: (load?.inFlight ?? 0) + (load?.waiting ?? 0),
      arrivals: arrivals.get(service) ?? 0,
    };
  });
}
