/** Placement from scratch: replicate the hottest experts, then pack greedily. */

import type {ExpertMap} from '../core/mapMessages';
import type {PlacementShape, Popularity} from './placement';
import {withEvenShares} from './placement';

/**
 * Number of replicas of each expert: every spare slot goes to the expert with
 * the highest load per replica.
 */
export function greedyReplicas(
  shape: PlacementShape,
  popularity: Popularity
): readonly number[] {
  const ranks = shape.slotsByRank.length;
  const total = shape.slotsByRank.reduce((sum, count) => sum + count, 0);
  const replicas = Array.from({length: shape.experts}, () => 1);
  for (let spare = total - shape.experts; spare > 0; spare--) {
    let hottest = 0;
    let highestLoad = -1;
    replicas.forEach((count, expert) => {
      const load = (popularity[expert] ?? 0) / count;
      if (count >= ranks || load <= highestLoad) return;
      highestLoad = load;
      hottest = expert;
    });
    replicas[hottest] = (replicas[hottest] ?? 1) + 1;
  }
  return replicas;
}

interface Replica {
  readonly expert: number;
  readonly load: number;
}

/** Least loaded rank that has a free slot and does not hold the expert. */
function leastLoadedRank(
  shape: PlacementShape,
  placed: readonly (readonly number[])[],
  loads: readonly number[],
  expert: number
): number {
  let best = -1;
  placed.forEach((slots, rank) => {
    const hasFreeSlot = slots.length < (shape.slotsByRank[rank] ?? 0);
    if (!hasFreeSlot || slots.includes(expert)) return;
    if (best < 0 || (loads[rank] ?? 0) < (loads[best] ?? 0)) best = rank;
  });
  return best >= 0
    ? best
    : placed.findIndex((s, r) => s.length < (shape.slotsByRank[r] ?? 0));
}

/** Places experts greedily with equal shares, ignoring the current placement. */
export function placeFromScratch(
  shape: PlacementShape,
  popularity: Popularity
): ExpertMap {
  const items = greedyReplicas(shape, popularity).flatMap((count, expert) =>
    Array.from({length: count}, (): Replica => ({
      expert,
      load: (popularity[expert] ?? 0) / count,
    }))
  );
  items.sort((a, b) => b.load - a.load || a.expert - b.expert);
  const placed: number[][] = shape.slotsByRank.map(() => []);
  const loads = shape.slotsByRank.map(() => 0);
  for (const {expert, load} of items) {
    const rank = leastLoadedRank(shape, placed, loads, expert);
    placed[rank]?.push(expert);
    loads[rank] = (loads[rank] ?? 0) + load;
  }
  return withEvenShares(placed);
}

/**
 * Assigns the rows of a new map to the ranks that already hold most of their
 * experts. Otherwise a placement from scratch would load weights only because
 * its ranks are numbered differently.
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
  const assignedRows = new Set<number>();
  for (const {index, rank} of pairs) {
    if (rowOf.has(rank) || assignedRows.has(index)) continue;
    rowOf.set(rank, index);
    assignedRows.add(index);
  }
  const reorder = <T>(table: readonly T[]): T[] =>
    from.slots.map((_, rank) => table[rowOf.get(rank) ?? rank] as T);
  return {slots: reorder(to.slots), shares: reorder(to.shares)};
}
