/**
 * Assigns the slots of targets to nodes.
 *
 * Dozens of nodes have a few requests each, and targets have a few slots each,
 * nearly all of them in use. Nodes that choose by each other's last reports pick
 * the same free slot at the same moment, and one request then waits for the whole
 * duration of the other. With permits by target, no two nodes use the same slot,
 * and a node needs no information about the requests of others.
 */

import {sum} from '../core/sum';

/** Number of requests by target id. */
export type CountsByTarget = Readonly<Record<string, number>>;

/** A target whose slots are assigned. */
export interface PermitTarget {
  readonly id: string;
  /** Requests that the target may hold at once. */
  readonly capacity: number;
  readonly availabilityZone: string;
  /** Targets of one group slow each other down; empty if it is in no group. */
  readonly group: string;
}

/** Concurrency limit by group, over all nodes; unlimited if absent. */
export type GroupConcurrency = ReadonlyMap<string, number>;

const UNBOUNDED: GroupConcurrency = new Map();

/** Requests that a node reported, and its total concurrency. */
export interface PermitDemand {
  readonly node: string;
  /** Zone of the node; undefined when unknown. */
  readonly availabilityZone: string | undefined;
  /** Requests that the node may have in flight at all targets together. */
  readonly concurrency: number;
  readonly inUse: CountsByTarget;
  /** Targets that want nothing from the node now. */
  readonly excluded: ReadonlySet<string>;
}

/** Cost of a target in another zone, as a ratio of its capacity. */
const REMOTE_ZONE_PENALTY = 0.2;
/** Cost of a target that wants nothing from the node; its permits go first. */
const EXCLUDED_COST = 1e6;
/** Minimum difference in utilization, in slots, that moves an unused permit. */
const MIN_IMBALANCE_SLOTS = 1.5;
/** Maximum number of permits that one renewal moves. */
const MAX_MOVES = 2;

/** Assigns the permits of one service. */
export class TargetPermits {
  private readonly held = new Map<string, Map<string, number>>();
  /** Number of assigned permits by target. */
  private readonly assigned = new Map<string, number>();
  private readonly assignedToGroup = new Map<string, number>();
  private readonly groupOf = new Map<string, string>();
  private targets: readonly PermitTarget[] = [];
  private groups = UNBOUNDED;

  /** Replaces the targets and the concurrency limits of their groups. */
  setTargets(
    targets: readonly PermitTarget[],
    groups: GroupConcurrency = UNBOUNDED
  ): void {
    this.groups = groups;
    if (this.targets === targets) return;
    this.targets = targets;
    this.groupOf.clear();
    this.assignedToGroup.clear();
    for (const {id, group} of targets) {
      this.groupOf.set(id, group);
      this.adjustGroup(group, this.assigned.get(id) ?? 0);
    }
  }

  /**
   * Renews the permits of a node that has just reported. It returns no permits for a
   * group that exceeds its limit, so that no request there is followed by another.
   */
  renew(demand: PermitDemand): ReadonlyMap<string, number> {
    const held = this.updateHeld(demand);
    this.withdrawBeyondBounds(demand, held);
    const inUse = Object.values(demand.inUse);
    const wanted = Math.max(Math.floor(demand.concurrency), sum(inUse));
    let count = sum([...held.values()]);
    while (count > wanted && this.withdrawOne(demand, held)) count--;
    while (count < wanted && this.assignOne(demand, held)) count++;
    for (let moves = 0; moves < MAX_MOVES; moves++)
      if (!this.moveOne(demand, held)) break;
    return this.withinBounds(held);
  }

  /** Revokes the permits of all nodes other than these. */
  retain(nodes: ReadonlySet<string>): void {
    for (const [node, held] of this.held) {
      if (nodes.has(node)) continue;
      for (const [id, count] of held) this.adjustAssigned(id, -count);
      this.held.delete(node);
    }
  }

  /**
   * Drops permits for targets that are gone. Requests in flight at the others count
   * as permits, even if the node holds fewer.
   */
  private updateHeld({node, inUse}: PermitDemand): Map<string, number> {
    const before = this.held.get(node) ?? new Map<string, number>();
    const held = new Map<string, number>();
    for (const [id, count] of before) this.adjustAssigned(id, -count);
    for (const {id} of this.targets) {
      const count = Math.max(before.get(id) ?? 0, inUse[id] ?? 0);
      if (count > 0) this.set(held, id, count);
    }
    this.held.set(node, held);
    return held;
  }

  /** Withdraws unused permits in groups that exceed their limit. */
  private withdrawBeyondBounds(
    {inUse}: PermitDemand,
    held: Map<string, number>
  ): void {
    for (const {id, group} of this.targets) {
      const count = held.get(id) ?? 0;
      const excess = this.excessOf(group);
      const unused = count - (inUse[id] ?? 0);
      if (excess >= 1 && unused > 0)
        this.set(held, id, count - Math.min(unused, Math.floor(excess)));
    }
  }

  /** Leaves out the permits in groups that exceed their limit. */
  private withinBounds(
    held: ReadonlyMap<string, number>
  ): ReadonlyMap<string, number> {
    const ids = [...held].filter(
      ([id]) => this.excessOf(this.groupOf.get(id) ?? '') < 1
    );
    return new Map(ids);
  }

  private withdrawOne(
    demand: PermitDemand,
    held: Map<string, number>
  ): boolean {
    const worst = this.costliestUnused(demand, held);
    if (worst === undefined) return false;
    this.add(held, worst.id, -1);
    return true;
  }

  private assignOne(demand: PermitDemand, held: Map<string, number>): boolean {
    const best = this.cheapestFree(demand);
    if (best === undefined) return false;
    this.add(held, best.id, 1);
    return true;
  }

  /** Moves an unused permit to a target with a clearly lower cost. */
  private moveOne(demand: PermitDemand, held: Map<string, number>): boolean {
    const worst = this.costliestUnused(demand, held);
    if (worst === undefined) return false;
    const best = this.cheapestFree(demand, worst.group);
    if (best === undefined) return false;
    const gain = this.costOf(worst, demand) - this.costOf(best, demand);
    if (gain * worst.capacity < MIN_IMBALANCE_SLOTS) return false;
    this.add(held, worst.id, -1);
    this.add(held, best.id, 1);
    return true;
  }

  private costliestUnused(
    demand: PermitDemand,
    held: ReadonlyMap<string, number>
  ): PermitTarget | undefined {
    let worst: PermitTarget | undefined;
    let highest = -Infinity;
    for (const target of this.targets) {
      const unused =
        (held.get(target.id) ?? 0) - (demand.inUse[target.id] ?? 0);
      if (unused <= 0) continue;
      const cost = this.costOf(target, demand);
      if (cost <= highest) continue;
      highest = cost;
      worst = target;
    }
    return worst;
  }

  /** Ignores the limit of `group`, which loses a permit in exchange. */
  private cheapestFree(
    demand: PermitDemand,
    group?: string
  ): PermitTarget | undefined {
    let best: PermitTarget | undefined;
    let least = Infinity;
    for (const target of this.targets) {
      if ((this.assigned.get(target.id) ?? 0) >= target.capacity) continue;
      if (target.group !== group && this.excessOf(target.group) >= 0) continue;
      if (demand.excluded.has(target.id)) continue;
      const cost = this.costOf(target, demand);
      if (cost >= least) continue;
      least = cost;
      best = target;
    }
    return best;
  }

  private costOf(
    {id, capacity, availabilityZone}: PermitTarget,
    demand: PermitDemand
  ): number {
    if (demand.excluded.has(id)) return EXCLUDED_COST;
    const utilization = (this.assigned.get(id) ?? 0) / Math.max(1, capacity);
    const isNear =
      demand.availabilityZone === undefined ||
      demand.availabilityZone === availabilityZone;
    return utilization + (isNear ? 0 : REMOTE_ZONE_PENALTY);
  }

  private add(held: Map<string, number>, id: string, by: number): void {
    this.set(held, id, (held.get(id) ?? 0) + by);
  }

  private set(held: Map<string, number>, id: string, count: number): void {
    this.adjustAssigned(id, count - (held.get(id) ?? 0));
    if (count > 0) held.set(id, count);
    else held.delete(id);
  }

  private adjustAssigned(id: string, by: number): void {
    const count = (this.assigned.get(id) ?? 0) + by;
    if (count > 0) this.assigned.set(id, count);
    else this.assigned.delete(id);
    const group = this.groupOf.get(id);
    if (group !== undefined) this.adjustGroup(group, by);
  }

  private adjustGroup(group: string, by: number): void {
    this.assignedToGroup.set(
      group,
      (this.assignedToGroup.get(group) ?? 0) + by
    );
  }

  /** Permits beyond the limit of a group; negative while it has room. */
  private excessOf(group: string): number {
    const assigned = this.assignedToGroup.get(group) ?? 0;
    return assigned - (this.groups.get(group) ?? Infinity);
  }
}
