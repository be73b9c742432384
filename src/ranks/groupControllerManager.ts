/** Runs a controller for each group of ranks while this node is the leader. */

import type {ClusterNode} from '../cluster/clusterNode';
import type {Logger} from '../core/logger';
import type {NodeMetrics} from '../core/nodeMetrics';
import type {RankCodec} from '../ports/rankPort';
import {streamGoals} from '../site/streamGoals';
import type {TargetRecord} from '../site/announcement';
import {groupStatuses} from '../site/groupStatus';
import type {SiteService} from '../site/site';
import type {MapOutlook} from '../policy/mapOutlook';
import type {ZonedAddress} from '../policy/relayPlan';
import {ShiftHistory} from '../policy/shiftHistory';
import {GroupController} from './groupController';
import {RankTransport} from './rankTransport';

interface RunningGroup {
  /** Leader's term, epoch and ranks; a new key needs a new controller. */
  readonly key: string;
  readonly service: string;
  readonly controller: GroupController;
  /** Passed on to the group's next controller. */
  readonly shifts: ShiftHistory;
}

/** Controllers of all groups, by name of the group. */
export class GroupControllerManager {
  private readonly groups = new Map<string, RunningGroup>();
  private readonly transport: RankTransport;

  constructor(
    private readonly node: ClusterNode,
    private readonly codec: RankCodec,
    private readonly logger: Logger,
    private readonly metrics: NodeMetrics,
    /** Pass duration of a group, as observed in this node's streams. */
    private readonly streamPassMs: (service: string, group: string) => number
  ) {
    this.transport = new RankTransport(
      {
        relays: () => relayNodes(node),
        callNode: (...call) => node.callNode(...call),
      },
      {
        onCall: (address, kind) => node.noteRankCall(address, kind),
        onResponse: (address, response) =>
          node.pushback.noteRankResponse(address, response, performance.now()),
      }
    );
  }

  /** Periodic work; no orders are sent while another node is the leader. */
  tick(nowMs: number): void {
    if (!this.node.leads) {
      this.groups.clear();
      return;
    }
    for (const service of this.node.site?.services.values() ?? [])
      if ((service.engine?.expertSets ?? 0) > 0)
        this.tickService(service, nowMs);
  }

  /** Undefined while this node runs no controller for the group. */
  outlook(
    service: string,
    group: string,
    nowMs: number
  ): MapOutlook | undefined {
    const running = this.groups.get(group);
    if (running?.service !== service) return undefined;
    return running.controller.outlook(nowMs);
  }

  private tickService(service: SiteService, nowMs: number): void {
    const openings = groupStatuses(this.node.table.records());
    for (const [name, ranks] of this.groupsOf(service.name)) {
      const [first] = ranks;
      const size = first?.group?.size ?? 0;
      const isComplete = ranks.length === size && size > 0;
      // An incomplete or closed group gets no orders: it is broken, or about to
      // form again.
      if (!isComplete || openings.get(name)?.isOpen !== true) continue;
      this.tickGroup(service, name, ranks, nowMs);
    }
  }

  private tickGroup(
    service: SiteService,
    name: string,
    ranks: readonly TargetRecord[],
    nowMs: number
  ): void {
    const {engine} = service;
    const epoch = Math.max(...ranks.map(({group}) => group?.epoch ?? 0));
    const ids = ranks.map(({id}) => id).join(' ');
    const key = `${this.node.term} ${epoch} ${ids}`;
    let running = this.groups.get(name);
    if (engine === undefined) return;
    if (running?.key !== key) {
      const shifts =
        running?.shifts ?? this.initialShifts(service.name, name, nowMs);
      const controller = new GroupController({
        name,
        engine,
        scope: {fence: this.node.term, epoch},
        ranks,
        codec: this.codec,
        transport: this.transport,
        logger: this.logger,
        metrics: this.metrics,
        streamPassMs: () => this.streamPassMs(service.name, name),
        running: () => this.node.runningRequests(service.name, name),
        acceptedPauseMs: this.acceptedPauseMs(service.name),
        isRestricted: id => this.isRestricted(id),
        // The same requests continue to choose the same experts.
        demand: running?.controller.demand,
        shifts,
      });
      running = {key, service: service.name, controller, shifts};
      this.groups.set(name, running);
    }
    if (!running.controller.isFenced) running.controller.tick(nowMs);
  }

  /**
   * Starts from the skew of shifts that an earlier leader reported, since the
   * next shift may follow soon.
   */
  private initialShifts(
    service: string,
    group: string,
    nowMs: number
  ): ShiftHistory {
    const known = this.node.view.grants.get(service)?.shiftSkews[group] ?? 0;
    return new ShiftHistory(known, nowMs);
  }

  private isRestricted(id: string): boolean {
    const {table, pushback} = this.node;
    const record = table.find(id);
    return (
      record !== undefined && pushback.isRestricted(record, performance.now())
    );
  }

  private acceptedPauseMs(service: string): number {
    const {site} = this.node;
    return site === undefined
      ? 0
      : (streamGoals(site).get(service)?.pauseMs ?? 0);
  }

  /** Newest record for each rank of each group, in the order of ranks. */
  private groupsOf(
    service: string
  ): ReadonlyMap<string, readonly TargetRecord[]> {
    const groups = new Map<string, TargetRecord[]>();
    for (const record of this.node.table.records()) {
      const {group} = record;
      if (record.service !== service || group === undefined) continue;
      if (record.state === 'gone') continue;
      const members = groups.get(group.name) ?? [];
      groups.set(group.name, members);
      const known = members[group.rank];
      if (known === undefined || known.bornMs <= record.bornMs)
        members[group.rank] = record;
    }
    // Removes the gaps that ranks without a record leave in the arrays.
    for (const [name, members] of groups)
      groups.set(name, Object.values(members));
    return groups;
  }
}

/** Nodes with a known zone. Those with a disk, busy with the log, come last. */
function relayNodes(node: ClusterNode): readonly ZonedAddress[] {
  return node
    .recentNodes()
    .flatMap(({ip, hasDisk, availabilityZone}) =>
      availabilityZone === undefined
        ? []
        : [{address: ip, availabilityZone, hasDisk}]
    )
    .sort((a, b) => Number(a.hasDisk) - Number(b.hasDisk));
}
