/**
 * Assigns the slots of targets to the nodes that may use them.
 *
 * Pattern: dozens of nodes with a few requests each, and targets with a few slots
 * each, nearly all of them in use. Nodes that choose by each other's latest
 * reports pick the same free slot at the same moment, and the request that loses
 * waits for the whole stay of another one. With permits by target no two nodes
 * use one slot, and a node needs to know nothing of the others' requests.
 */

import {sum} from '../core/sum';

/** Requests at each target by its id. */
export type CountsByTarget = Readonly<Record<string, number>>;

/** A target that may be used. */
export interface PermitTarget {
  readonly id: string;
  /** Requests that it takes at once. */
  readonly capacity: number;
  readonly availabilityZone: string;
  /** Targets of one group slow each other down; empty when it works alone. */
  readonly group: string;
}

/** Requests that all nodes may have in each group; without bound if absent. */
export type GroupConcurrency = ReadonlyMap<string, number>;

const UNBOUNDED: GroupConcurrency = new Map();

/** What a node reported, and what it may have in all. */
export interface PermitDemand {
  readonly node: string;
  /** Undefined when it is not known. */
  readonly availabilityZone: string | undefined;
  /** Requests that it may have at targets at once. */
  readonly concurrency: number;
  readonly inUse: CountsByTarget;
}

/** Cost of another zone, in parts of a target's capacity. */
const FAR_PENALTY = 0.2;
/** Difference in use, in slots, from which an unused permit is moved. */
const MIN_IMBALANCE_SLOTS = 1.5;
/** Permits moved with one renewal. */
const MAX_MOVES = 2;

/** Permits of one service. */
export class TargetPermits {
  private readonly held = new Map<string, Map<string, number>>();
  /** Permits given out by target. */
  private readonly given = new Map<string, number>();
  private readonly givenToGroup = new Map<string, number>();
  private readonly groupOf = new Map<string, string>();
  private targets: readonly PermitTarget[] = [];
  private groups = UNBOUNDED;

  /** Takes over the targets and the bounds of their groups. */
  setTargets(
    targets: readonly PermitTarget[],
    groups: GroupConcurrency = UNBOUNDED
  ): void {
    this.groups = groups;
    if (this.targets === targets) return;
    this.targets = targets;
    this.groupOf.clear();
    this.givenToGroup.clear();
    for (const {id, group} of targets) {
      this.groupOf.set(id, group);
      this.countGroup(group, this.given.get(id) ?? 0);
    }
  }

  /**
   * Renews the permits of a node that has just reported. A group that is over its
   * bound has none: what ends there is not followed by another request.
   */
  renew(demand: PermitDemand): ReadonlyMap<string, number> {
    const held = this.keepUsable(demand);
    this.withdrawBeyondBounds(demand, held);
    const inUse = Object.values(demand.inUse);
    const wanted = Math.max(Math.floor(demand.concurrency), sum(inUse));
    let count = sum([...held.values()]);
    while (count > wanted && this.withdrawOne(demand, held)) count--;
    while (count < wanted && this.giveOne(demand, held)) count++;
    for (let moves = 0; moves < MAX_MOVES; moves++)
      if (!this.moveOne(demand, held)) break;
    return this.withinBounds(held);
  }

  /** Takes back all permits of nodes that are gone. */
  retain(nodes: ReadonlySet<string>): void {
    for (const [node, held] of this.held) {
      if (nodes.has(node)) continue;
      for (const [id, count] of held) this.count(id, -count);
      this.held.delete(node);
    }
  }

  /** Permits for targets that are gone end; requests at others count as held. */
  private keepUsable({node, inUse}: PermitDemand): Map<string, number> {
    const before = this.held.get(node) ?? new Map<string, number>();
    const held = new Map<string, number>();
    for (const [id, count] of before) this.count(id, -count);
    for (const {id} of this.targets) {
      const count = Math.max(before.get(id) ?? 0, inUse[id] ?? 0);
      if (count > 0) this.set(held, id, count);
    }
    this.held.set(node, held);
    return held;
  }

  /** What a group may no longer run is not taken up again there. */
  private withdrawBeyondBounds(
    {inUse}: PermitDemand,
    held: Map<string, number>
  ): void {
    for (const {id, group} of this.targets) {
      const count = held.get(id) ?? 0;
      const over = this.overOf(group);
      const unused = count - (inUse[id] ?? 0);
      if (over >= 1 && unused > 0)
        this.set(held, id, count - Math.min(unused, Math.floor(over)));
    }
  }

  private withinBounds(
    held: ReadonlyMap<string, number>
  ): ReadonlyMap<string, number> {
    const ids = [...held].filter(
      ([id]) => this.overOf(this.groupOf.get(id) ?? '') < 1
    );
    return new Map(ids);
  }

  private withdrawOne(
    demand: PermitDemand,
    held: Map<string, number>
  ): boolean {
    const worst = this.worstUnused(demand, held);
    if (worst === undefined) return false;
    this.add(held, worst.id, -1);
    return true;
  }

  private giveOne(demand: PermitDemand, held: Map<string, number>): boolean {
    const best = this.bestFree(demand);
    if (best === undefined) return false;
    this.add(held, best.id, 1);
    return true;
  }

  /** Moves an unused permit from a crowded target to one that has room. */
  private moveOne(demand: PermitDemand, held: Map<string, number>): boolean {
    const worst = this.worstUnused(demand, held);
    if (worst === undefined) return false;
    const best = this.bestFree(demand, worst.group);
    if (best === undefined) return false;
    const gain = this.costOf(worst, demand) - this.costOf(best, demand);
    if (gain * worst.capacity < MIN_IMBALANCE_SLOTS) return false;
    this.add(held, worst.id, -1);
    this.add(held, best.id, 1);
    return true;
  }

  private worstUnused(
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

  /** `group` gives up a permit in exchange, and needs no room for another. */
  private bestFree(
    demand: PermitDemand,
    group?: string
  ): PermitTarget | undefined {
    let best: PermitTarget | undefined;
    let least = Infinity;
    for (const target of this.targets) {
      if ((this.given.get(target.id) ?? 0) >= target.capacity) continue;
      if (target.group !== group && this.overOf(target.group) >= 0) continue;
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
    const use = (this.given.get(id) ?? 0) / Math.max(1, capacity);
    const isNear =
      demand.availabilityZone === undefined ||
      demand.availabilityZone === availabilityZone;
    return use + (isNear ? 0 : FAR_PENALTY);
  }

  private add(held: Map<string, number>, id: string, by: number): void {
    this.set(held, id, (held.get(id) ?? 0) + by);
  }

  private set(held: Map<string, number>, id: string, count: number): void {
    this.count(id, count - (held.get(id) ?? 0));
    if (count > 0) held.set(id, count);
    else held.delete(id);
  }

  private count(id: string, by: number): void {
    const count = (this.given.get(id) ?? 0) + by;
    if (count > 0) this.given.set(id, count);
    else this.given.delete(id);
    const group = this.groupOf.get(id);
    if (group !== undefined) this.countGroup(group, by);
  }

  private countGroup(group: string, by: number): void {
    this.givenToGroup.set(group, (this.givenToGroup.get(group) ?? 0) + by);
  }

  /** Permits beyond the bound of a group; negative while there is room. */
  private overOf(group: string): number {
    const given = this.givenToGroup.get(group) ?? 0;
    return given - (this.groups.get(group) ?? Infinity);
  }
}
