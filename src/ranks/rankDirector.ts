/** Keeps a controller for each group of ranks while this node leads. */

import type {ClusterNode} from '../cluster/clusterNode';
import type {Logger} from '../core/logger';
import type {NodeMetrics} from '../core/nodeMetrics';
import type {RankCodec} from '../ports/rankPort';
import {streamGoals} from '../site/streamGoals';
import type {TargetRecord} from '../site/announcement';
import {groupOpenings} from '../site/groupOpenings';
import type {SiteService} from '../site/site';
import type {MapOutlook} from '../policy/mapOutlook';
import type {Located} from '../policy/relayPlan';
import {ShiftHistory} from '../policy/shiftHistory';
import {GroupController} from './groupController';
import {RankCaller} from './rankCaller';

interface RunningGroup {
  /** Leader's term, epoch and ranks; another key is another controller. */
  readonly key: string;
  readonly service: string;
  readonly controller: GroupController;
  /** Outlives the controllers. */
  readonly shifts: ShiftHistory;
}

/** Controllers by service and group. */
export class RankDirector {
  private readonly groups = new Map<string, RunningGroup>();
  private readonly caller: RankCaller;

  constructor(
    private readonly node: ClusterNode,
    private readonly codec: RankCodec,
    private readonly logger: Logger,
    private readonly metrics: NodeMetrics,
    /** Length of a pass of a group, as this node's streams show it. */
    private readonly paceMs: (service: string, group: string) => number
  ) {
    this.caller = new RankCaller({
      relays: () => relaysOf(node),
      callNode: (...call) => node.callNode(...call),
    });
  }

  /** Regular work; nothing is ordered while another node leads. */
  tick(nowMs: number): void {
    if (!this.node.leads) {
      this.groups.clear();
      return;
    }
    for (const service of this.node.site?.services.values() ?? [])
      if ((service.engine?.expertSets ?? 0) > 0)
        this.tickService(service, nowMs);
  }

  /** Undefined while the group is not led from here. */
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
    const openings = groupOpenings(this.node.table.records());
    for (const [name, ranks] of this.groupsOf(service.name)) {
      const [first] = ranks;
      const size = first?.group?.size ?? 0;
      const isWhole = ranks.length === size && size > 0;
      // Half a group orders nothing: it is broken, or about to form anew.
      if (!isWhole || openings.get(name)?.isOpen !== true) continue;
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
        running?.shifts ?? this.knownShifts(service.name, name, nowMs);
      const controller = new GroupController({
        name,
        engine,
        scope: {fence: this.node.term, epoch},
        ranks,
        codec: this.codec,
        caller: this.caller,
        logger: this.logger,
        metrics: this.metrics,
        paceMs: () => this.paceMs(service.name, name),
        running: () => this.node.runningRequests(service.name, name),
        acceptedPauseMs: this.acceptedPauseMs(service.name),
        // The same requests go on asking for the same experts.
        demand: running?.controller.demand,
        shifts,
      });
      running = {key, service: service.name, controller, shifts};
      this.groups.set(name, running);
    }
    if (!running.controller.isFenced) running.controller.tick(nowMs);
  }

  /** What an earlier leader told of the shifts; the next one comes soon. */
  private knownShifts(
    service: string,
    group: string,
    nowMs: number
  ): ShiftHistory {
    const known = this.node.view.grants.get(service)?.shiftSkews[group] ?? 0;
    return new ShiftHistory(known, nowMs);
  }

  private acceptedPauseMs(service: string): number {
    const {site} = this.node;
    return site === undefined
      ? 0
      : (streamGoals(site).get(service)?.pauseMs ?? 0);
  }

  /** The newest life at each place of each group, in the order of places. */
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
    // A place that nobody has told of yet leaves a gap.
    for (const [name, members] of groups)
      groups.set(name, Object.values(members));
    return groups;
  }
}

/** Nodes whose zone is known, busy ones of the log last. */
function relaysOf(node: ClusterNode): readonly Located[] {
  return node
    .recentNodes()
    .flatMap(({ip, hasDisk, availabilityZone}) =>
      availabilityZone === undefined
        ? []
        : [{address: ip, availabilityZone, hasDisk}]
    )
    .sort((a, b) => Number(a.hasDisk) - Number(b.hasDisk));
}
