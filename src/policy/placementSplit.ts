/**
 * Splits the tokens of each expert over its replicas to minimize the load of the
 * most loaded rank. The reachable loads form a base polytope, so the split with
 * the least sum of squares also has the least maximum. Water-filling one expert
 * after the other converges to it.
 */

import type {ExpertMap} from '../core/mapMessages';
import type {Popularity, SlotChange} from './placement';
import {scaledToMeanRank} from './placement';

/** Load moved by one sweep, in mean loads, below which the split is final. */
const CONVERGENCE_TOLERANCE = 1e-5;
/** Typical error of the predicted load of a rank, in mean loads. */
const PREDICTION_ERROR = 0.01;

interface Replica {
  readonly rank: number;
  readonly slot: number;
  /** Load of this replica, in mean loads of ranks. */
  amount: number;
}

/** Partition of ranks: load can be shifted between the ranks of one group. */
export interface SharingGroups {
  /** Group number of each rank. */
  readonly groupOf: readonly number[];
  /** Number of ranks in each group. */
  readonly sizes: readonly number[];
}

/** 'weighted' if engines accept shares, 'even' if they split tokens equally. */
export type Splitting = 'weighted' | 'even';

/** Mutable slots, loads and split of one group during the search for a plan. */
export class SplitState {
  private constructor(
    readonly popularity: readonly number[],
    private readonly slots: number[][],
    private readonly replicas: Replica[][],
    readonly loads: number[],
    private readonly splitting: Splitting
  ) {}

  /** Creates the state of a map; loads are scaled so that their mean is 1. */
  static of(
    map: ExpertMap,
    popularity: Popularity,
    splitting: Splitting
  ): SplitState {
    const scaled = scaledToMeanRank(popularity, map.slots.length);
    const replicas: Replica[][] = scaled.map(() => []);
    const loads = map.slots.map(() => 0);
    map.slots.forEach((slots, rank) =>
      slots.forEach((expert, slot) => {
        const share = map.shares[rank]?.[slot] ?? 0;
        const amount = (scaled[expert] ?? 0) * share;
        replicas[expert]?.push({rank, slot, amount});
        loads[rank] = (loads[rank] ?? 0) + amount;
      })
    );
    const slots = map.slots.map(list => [...list]);
    return new SplitState(scaled, slots, replicas, loads, splitting);
  }

  clone(): SplitState {
    return new SplitState(
      this.popularity,
      this.slots.map(list => [...list]),
      this.replicas.map(list => list.map(replica => ({...replica}))),
      [...this.loads],
      this.splitting
    );
  }

  expertAt(rank: number, slot: number): number {
    return this.slots[rank]?.[slot] ?? -1;
  }

  slotsOf(rank: number): readonly number[] {
    return this.slots[rank] ?? [];
  }

  replicasOf(expert: number): readonly Readonly<Replica>[] {
    return this.replicas[expert] ?? [];
  }

  holds(rank: number, expert: number): boolean {
    return this.slotsOf(rank).includes(expert);
  }

  /** Puts another expert into a slot and splits both experts anew. */
  change(change: SlotChange): void {
    const {rank, slot, expert} = change;
    const old = this.expertAt(rank, slot);
    const list = this.replicas[old] ?? [];
    const index = list.findIndex(r => r.rank === rank && r.slot === slot);
    const [removed] = list.splice(index, 1);
    this.addLoad(rank, -(removed?.amount ?? 0));
    const row = this.slots[rank];
    if (row) row[slot] = expert;
    this.replicas[expert]?.push({rank, slot, amount: 0});
    this.fill(old);
    this.fill(expert);
  }

  /** Splits all replicated experts anew until convergence or `sweeps` rounds. */
  relax(sweeps: number): void {
    const replicated = this.replicas.flatMap((list, expert) =>
      list.length > 1 ? [expert] : []
    );
    for (let sweep = 0; sweep < sweeps; sweep++) {
      let moved = 0;
      for (const expert of replicated) moved += this.fill(expert);
      if (moved < CONVERGENCE_TOLERANCE) return;
    }
  }

  /**
   * Expected skew when loads are known up to an error: a smooth maximum that
   * grows with the number of ranks close to the highest load.
   */
  softSkew(): number {
    const maxLoad = this.skew();
    const sum = this.loads.reduce(
      (total, load) => total + Math.exp((load - maxLoad) / PREDICTION_ERROR),
      0
    );
    return maxLoad + PREDICTION_ERROR * Math.log(sum);
  }

  skew(): number {
    return Math.max(...this.loads);
  }

  /** Groups the ranks that can shift load through the experts that they share. */
  sharingGroups(): SharingGroups {
    if (this.splitting === 'even') return singletonGroups(this.loads.length);
    const parent = this.loads.map((_, rank) => rank);
    const rootOf = (rank: number): number => {
      let root = rank;
      while (parent[root] !== root) root = parent[root] ?? root;
      return root;
    };
    for (const list of this.replicas) {
      const used = list.filter(replica => replica.amount > 0);
      const first = used[0];
      if (first === undefined) continue;
      for (const {rank} of used) parent[rootOf(rank)] = rootOf(first.rank);
    }
    const groupOf = parent.map((_, rank) => rootOf(rank));
    const sizes = parent.map(() => 0);
    for (const group of groupOf) sizes[group] = (sizes[group] ?? 0) + 1;
    return {groupOf, sizes};
  }

  toMap(): ExpertMap {
    const shares = this.slots.map(list => list.map(() => 0));
    this.replicas.forEach((list, expert) => {
      const total = this.popularity[expert] ?? 0;
      for (const {rank, slot, amount} of list) {
        const row = shares[rank];
        // Rounding can raise the share of an only replica slightly above 1. Ranks
        // reject a map with such a share, which would block all map switches.
        const share = total > 0 ? amount / total : 1 / list.length;
        if (row) row[slot] = Math.min(1, share);
      }
    });
    return {slots: this.slots.map(list => [...list]), shares};
  }

  private addLoad(rank: number, amount: number): void {
    this.loads[rank] = (this.loads[rank] ?? 0) + amount;
  }

  /** Levels the ranks that hold the expert; returns the load that was shifted. */
  private fill(expert: number): number {
    const list = this.replicas[expert] ?? [];
    const total = this.popularity[expert] ?? 0;
    const otherLoads = list.map(r => (this.loads[r.rank] ?? 0) - r.amount);
    const level = waterLevel(otherLoads, total);
    let moved = 0;
    list.forEach((replica, index) => {
      const amount =
        this.splitting === 'even'
          ? total / list.length
          : Math.max(0, level - (otherLoads[index] ?? 0));
      moved += Math.abs(amount - replica.amount);
      this.addLoad(replica.rank, amount - replica.amount);
      replica.amount = amount;
    });
    return moved;
  }
}

/** With an even split no load can be shifted between ranks. */
function singletonGroups(ranks: number): SharingGroups {
  const groupOf = Array.from({length: ranks}, (_, rank) => rank);
  return {groupOf, sizes: groupOf.map(() => 1)};
}

/** Water-filling: the level reached when `total` is poured over `base` levels. */
export function waterLevel(base: readonly number[], total: number): number {
  const sorted = [...base].sort((a, b) => a - b);
  let sum = 0;
  for (let count = 1; count <= sorted.length; count++) {
    sum += sorted[count - 1] ?? 0;
    const level = (sum + total) / count;
    const next = sorted[count];
    if (next === undefined || level <= next) return level;
  }
  return total;
}

/** Maximum number of sweeps for a split that is applied. */
export const MAX_SWEEPS = 60;

/** The same slots with the best split for a given popularity. */
export function withBestShares(
  map: ExpertMap,
  popularity: Popularity,
  splitting: Splitting = 'weighted'
): ExpertMap {
  const state = SplitState.of(map, popularity, splitting);
  state.relax(MAX_SWEEPS);
  return state.toMap();
}
