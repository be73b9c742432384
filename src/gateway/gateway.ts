/** What all requests of one gateway share. */

import type {ClusterNode, ClusterView} from '../cluster/clusterNode';
import type {ServiceLoad} from '../cluster/messages';
import type {Logger} from '../core/logger';
import type {NodeMetrics, PoolGauge} from '../core/nodeMetrics';
import type {CallerCodec} from '../ports/callerPort';
import type {TargetCodec} from '../ports/targetPort';
import type {SiteService} from '../site/site';
import type {ChoiceInput, PoolBounds} from './servicePool';
import {ServicePool} from './servicePool';

/** What a gateway is made of. */
export interface GatewayParts {
  readonly callers: CallerCodec;
  readonly targets: TargetCodec;
  readonly bounds: PoolBounds;
  readonly availabilityZone: string;
  readonly logger: Logger;
  readonly metrics: NodeMetrics;
  /** The cluster that it belongs to; set once that runs. */
  node(): ClusterNode | undefined;
}

/** Pools by service, kept up to date with the view of the cluster. */
export class Gateway {
  private readonly pools = new Map<string, ServicePool>();
  private grantsSeen: ClusterView['grants'] | undefined;

  constructor(readonly parts: GatewayParts) {}

  /** Undefined until the node knows a site. */
  get view(): ClusterView | undefined {
    const view = this.parts.node()?.view;
    if (view !== undefined && view.grants !== this.grantsSeen)
      this.takeGrants(view);
    return view;
  }

  pool(service: string): ServicePool {
    const known = this.pools.get(service);
    if (known !== undefined) return known;
    const pool = new ServicePool(service, this.parts.bounds);
    this.pools.set(service, pool);
    return pool;
  }

  choiceInput(
    service: SiteService,
    view: ClusterView,
    tried: ReadonlySet<string>
  ): ChoiceInput {
    return {
      service,
      records: this.parts.node()?.table.records() ?? [],
      zonesOut: view.zonesOut,
      ownZone: this.parts.availabilityZone,
      activeNodes: view.activeNodes,
      tried,
      nowMs: performance.now(),
    };
  }

  /** Regular work: requests that waited too long, targets that are no more. */
  tick(): void {
    const nowMs = performance.now();
    for (const pool of this.pools.values()) pool.queue.expire(nowMs);
  }

  /** Report to the leader. */
  takeLoads(): readonly ServiceLoad[] {
    return [...this.pools.values()].map(pool => pool.takeLoad());
  }

  /** For whoever asks how this node stands. */
  poolGauges(): readonly PoolGauge[] {
    return [...this.pools.values()].map(pool => pool.gauge());
  }

  private takeGrants(view: ClusterView): void {
    this.grantsSeen = view.grants;
    for (const [service, grant] of view.grants) this.pool(service).grant(grant);
    const records = this.parts.node()?.table.records() ?? [];
    for (const pool of this.pools.values()) pool.forget(records);
  }
}
