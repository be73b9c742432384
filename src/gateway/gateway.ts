/** State that all requests of one gateway share. */

import type {ClusterNode} from '../cluster/clusterNode';
import type {ClusterView} from '../cluster/clusterView';
import type {ServiceLoad} from '../cluster/messages';
import type {CrashedRequests} from '../cluster/crashedRequests';
import type {NodeQuarantine} from '../cluster/nodeQuarantine';
import type {TargetPushback} from '../cluster/targetPushback';
import type {Logger} from '../core/logger';
import type {NodeMetrics, PoolGauge} from '../core/nodeMetrics';
import type {MemoryAccount} from '../inbound/memoryAccount';
import type {CallerCodec} from '../ports/callerPort';
import type {TargetCodec} from '../ports/targetPort';
import type {SiteService} from '../site/site';
import type {SiteIndex} from '../site/siteIndex';
import type {Urgency, UrgencyKey} from '../policy/admission/urgency';
import {urgencyKey} from '../policy/admission/urgency';
import {reportPeriodMs} from '../policy/reportPeriod';
import type {TargetCrash} from './crashDetector';
import {CrashDetector} from './crashDetector';
import type {HeldByteLimits} from './heldBytes';
import {HeldBytes} from './heldBytes';
import {probeTarget} from './probeTarget';
import {RequestsInProgress} from './requestsInProgress';
import type {ChoiceInput, PoolBounds} from './servicePool';
import {ServicePool} from './servicePool';
import {urgencyRanks} from './urgencyRanks';

/** A grant counts as fresh for this many report periods. */
const FRESH_PERIODS = 2;
/** One report that is lost takes 700 ms until its timeout. */
const MIN_FRESH_MS = 1_000;
const MAX_LOGGED_DIGESTS = 32;

/** Dependencies and settings of a gateway. */
export interface GatewayParts {
  readonly callers: CallerCodec;
  readonly targets: TargetCodec;
  readonly bounds: PoolBounds;
  readonly availabilityZone: string;
  readonly heldBytes: HeldByteLimits;
  readonly memory: MemoryAccount;
  /** Age of a confirmation up to which the site document may refuse, ms. */
  readonly maxSiteAgeMs: number;
  readonly logger: Logger;
  readonly metrics: NodeMetrics;
  /** Returns 0 up to but excluding 1. */
  random(): number;
  /** This process's cluster node; undefined until it has started. */
  node(): ClusterNode | undefined;
}

/** One pool for each service, updated from the view of the cluster. */
export class Gateway {
  readonly crashes = new CrashDetector({
    probe: probeTarget,
    onCrash: crash => this.noteCrash(crash),
  });
  readonly heldBytes: HeldBytes;
  readonly requests = new RequestsInProgress();
  private readonly pools = new Map<string, ServicePool>();
  /** By site version and service, as each request needs them. */
  private readonly ranks = new WeakMap<
    SiteIndex,
    Map<string, ReadonlyMap<UrgencyKey, number>>
  >();
  private appliedGrants: ClusterView['grants'] | undefined;

  constructor(readonly parts: GatewayParts) {
    this.heldBytes = new HeldBytes(parts.heldBytes, parts.memory);
  }

  /**
   * Current view of the cluster; undefined until the cluster node has started.
   * Grants that changed are applied to the pools before it is returned.
   */
  get view(): ClusterView | undefined {
    const view = this.parts.node()?.view;
    if (view !== undefined && view.grants !== this.appliedGrants)
      this.applyGrants(view);
    return view;
  }

  /** Prompts that crash targets; undefined until the cluster node has started. */
  get quarantine(): NodeQuarantine | undefined {
    return this.parts.node()?.quarantine;
  }

  /** Requests that crash targets; undefined until the cluster node has started. */
  get crashedRequests(): CrashedRequests | undefined {
    return this.parts.node()?.crashedRequests;
  }

  /** What targets stated; undefined until the cluster node has started. */
  get pushback(): TargetPushback | undefined {
    return this.parts.node()?.pushback;
  }

  pool(service: string): ServicePool {
    const known = this.pools.get(service);
    if (known !== undefined) return known;
    const pool = new ServicePool(service, this.parts.bounds, this.parts.random);
    this.pools.set(service, pool);
    return pool;
  }

  choiceInput(
    service: SiteService,
    view: ClusterView,
    tried: ReadonlySet<string>,
    nowMs: number
  ): ChoiceInput {
    return {
      service,
      records: this.parts.node()?.table.records() ?? [],
      zonesOut: view.zonesOut,
      ownZone: this.parts.availabilityZone,
      activeNodes: view.activeNodes,
      pushback: this.pushback,
      tried,
      nowMs,
      random: this.parts.random,
    };
  }

  /** Rank of an urgency, 0 to 9; undefined unless the service is prioritized. */
  urgencyRank(
    index: SiteIndex,
    service: string,
    urgency: Urgency
  ): number | undefined {
    if (!index.isPrioritized(service)) return undefined;
    return this.ranksOf(index, service).get(urgencyKey(urgency)) ?? 0;
  }

  /** Refuses requests that have been queued for too long; called periodically. */
  tick(): void {
    const nowMs = performance.now();
    for (const pool of this.pools.values()) pool.queue.expire(nowMs);
  }

  /** Load of each service for the report to the leader; restarts the count of arrivals. */
  takeLoads(): readonly ServiceLoad[] {
    const index = this.parts.node()?.view?.index;
    return [...this.pools].map(([service, pool]) =>
      pool.takeLoad(index?.isPrioritized(service) === true)
    );
  }

  /** Gauges of each service for the metrics. */
  poolGauges(): readonly PoolGauge[] {
    return [...this.pools.values()].map(pool => pool.gauge());
  }

  private ranksOf(
    index: SiteIndex,
    service: string
  ): ReadonlyMap<UrgencyKey, number> {
    let ranks = this.ranks.get(index);
    if (ranks === undefined) {
      ranks = new Map();
      this.ranks.set(index, ranks);
    }
    let ofService = ranks.get(service);
    if (ofService === undefined) {
      ofService = urgencyRanks(index.site, service);
      ranks.set(service, ofService);
    }
    return ofService;
  }

  private async noteCrash({
    target,
    atMs,
    requests,
    parts,
  }: TargetCrash): Promise<void> {
    const {logger, metrics} = this.parts;
    const {id, bornMs, service} = target;
    const boot = `${id}/${bornMs}`;
    this.quarantine?.noteCrash({service, boot, atMs, parts});
    metrics.targetCrashed(service);
    logger.warn(
      {
        event: 'target.crashed',
        target: id,
        bornMs,
        service,
        requests: requests.length,
        requestDigests: requests
          .slice(0, MAX_LOGGED_DIGESTS)
          .map(({digest}) => digest),
        suspectParts: parts.length,
      },
      `target ${id} crashed under ${requests.length} requests of this node`
    );
    await this.crashedRequests?.noteCrash({service, boot, atMs, requests});
    for (const {digest} of requests)
      metrics.requestLostTarget(this.crashedRequests?.crashCount(digest) ?? 0);
  }

  private applyGrants(view: ClusterView): void {
    this.appliedGrants = view.grants;
    const {grantedAtMs = performance.now()} = view;
    const periodMs = reportPeriodMs(view.activeNodes);
    const freshForMs = Math.max(MIN_FRESH_MS, FRESH_PERIODS * periodMs);
    for (const [service, grant] of view.grants)
      this.pool(service).applyGrant(grant, freshForMs, grantedAtMs);
    const records = this.parts.node()?.table.records() ?? [];
    for (const pool of this.pools.values()) pool.retainTargets(records);
    this.crashes.retainTargets(records);
    this.pushback?.evict(performance.now());
  }
}
