/** Placement from scratch: replicate the hottest, then pack the largest first. */

import type {ExpertMap} from '../core/mapMessages';
import type {PlacementShape, Popularity} from './placement';
import {withEvenShares} from './placement';

/** Replicas of each expert: every spare slot goes to the largest load a replica. */
export function greedyReplicas(
  shape: PlacementShape,
  popularity: Popularity
): readonly number[] {
  const ranks = shape.slotsByRank.length;
  const total = shape.slotsByRank.reduce((sum, count) => sum + count, 0);
  const replicas = Array.from({length: shape.experts}, () => 1);
  for (let spare = total - shape.experts; spare > 0; spare--) {
    let hottest = 0;
    let most = -1;
    replicas.forEach((count, expert) => {
      const load = (popularity[expert] ?? 0) / count;
      if (count >= ranks || load <= most) return;
      most = load;
      hottest = expert;
    });
    replicas[hottest] = (replicas[hottest] ?? 1) + 1;
  }
  return replicas;
}

interface Item {
  readonly expert: number;
  readonly load: number;
}

/** The rank with the least load that has a free slot and lacks the expert. */
function leastLoaded(
  shape: PlacementShape,
  placed: readonly (readonly number[])[],
  loads: readonly number[],
  expert: number
): number {
  let best = -1;
  placed.forEach((slots, rank) => {
    const free = slots.length < (shape.slotsByRank[rank] ?? 0);
    if (!free || slots.includes(expert)) return;
    if (best < 0 || (loads[rank] ?? 0) < (loads[best] ?? 0)) best = rank;
  });
  return best >= 0
    ? best
    : placed.findIndex((s, r) => s.length < (shape.slotsByRank[r] ?? 0));
}

/** Greedy replicate-and-pack with an even split; ignores what stands where. */
export function placeFromScratch(
  shape: PlacementShape,
  popularity: Popularity
): ExpertMap {
  const items = greedyReplicas(shape, popularity).flatMap((count, expert) =>
    Array.from({length: count}, (): Item => ({
      expert,
      load: (popularity[expert] ?? 0) / count,
    }))
  );
  items.sort((a, b) => b.load - a.load || a.expert - b.expert);
  const placed: number[][] = shape.slotsByRank.map(() => []);
  const loads = shape.slotsByRank.map(() => 0);
  for (const {expert, load} of items) {
    const rank = leastLoaded(shape, placed, loads, expert);
    placed[rank]?.push(expert);
    loads[rank] = (loads[rank] ?? 0) + load;
  }
  return withEvenShares(placed);
}

/**
 * Gives the rows of a new map to the ranks that already hold most of each, so
 * that solving from scratch is not charged for mere renumbering.
 */
export function relabelToFewestLoads(
  from: ExpertMap,
  to: ExpertMap
): ExpertMap {
  const pairs = to.slots.flatMap((row, index) =>
    from.slots.flatMap((held, rank) => {
      if (held.length !== row.length) return [];
      const common = row.filter(expert => held.includes(expert)).length;
      return [{index, rank, common}];
    })
  );
  pairs.sort((a, b) => b.common - a.common || a.rank - b.rank);
  const rowOf = new Map<number, number>();
  const used = new Set<number>();
  for (const {index, rank} of pairs) {
    if (rowOf.has(rank) || used.has(index)) continue;
    rowOf.set(rank, index);
    used.add(index);
  }
  const pick = <T>(table: readonly T[]): T[] =>
    from.slots.map((_, rank) => table[rowOf.get(rank) ?? rank] as T);
  return {slots: pick(to.slots), shares: pick(to.shares)};
}
