/** Expert placement: slots of a group of ranks, load of each rank, and skew. */

import type {ExpertMap} from '../core/mapMessages';

/** Tokens by expert; only the ratios matter. */
export type Popularity = readonly number[];

/** Number of experts and slots of a group of ranks, for one layer. */
export interface PlacementShape {
  readonly experts: number;
  /** Number of slots of each rank. */
  readonly slotsByRank: readonly number[];
}

/** One slot of one rank. */
export interface SlotRef {
  readonly rank: number;
  readonly slot: number;
}

/** Puts another expert into a slot, which loads its weights from the store. */
export interface SlotChange extends SlotRef {
  readonly expert: number;
}

/** Distributes the slots of all experts and spare replicas evenly over ranks. */
export function evenShape(
  ranks: number,
  experts: number,
  spareSlots: number
): PlacementShape {
  const total = experts + spareSlots;
  const minSlots = Math.floor(total / ranks);
  const remainder = total % ranks;
  const slotsByRank = Array.from({length: ranks}, (_, rank) =>
    rank < remainder ? minSlots + 1 : minSlots
  );
  return {experts, slotsByRank};
}

/** Shape of an expert map. */
export function shapeOf(map: ExpertMap): PlacementShape {
  const experts = 1 + Math.max(...map.slots.flat());
  return {experts, slotsByRank: map.slots.map(slots => slots.length)};
}

/** Load of each rank, in the unit of the popularity. */
export function rankLoads(
  map: ExpertMap,
  popularity: Popularity
): readonly number[] {
  return map.slots.map((slots, rank) => {
    const shares = map.shares[rank] ?? [];
    return slots.reduce(
      (sum, expert, slot) =>
        sum + (popularity[expert] ?? 0) * (shares[slot] ?? 0),
      0
    );
  });
}

/** Max over mean load of ranks; 1 is perfect balance. */
export function skewOf(loads: readonly number[]): number {
  const total = loads.reduce((sum, load) => sum + load, 0);
  if (total === 0) return 1;
  return (Math.max(...loads) * loads.length) / total;
}

/** Skew of a map under a given popularity. */
export function mapSkew(map: ExpertMap, popularity: Popularity): number {
  return skewOf(rankLoads(map, popularity));
}

/** Number of experts that each rank must load because it did not hold them. */
export function weightLoadsByRank(
  from: ExpertMap | undefined,
  to: ExpertMap
): readonly number[] {
  return to.slots.map((slots, rank) => {
    const held = new Set(from?.slots[rank] ?? []);
    return slots.filter(expert => !held.has(expert)).length;
  });
}

/** Gives all replicas of an expert equal shares, as engines do by default. */
export function withEvenShares(slots: ExpertMap['slots']): ExpertMap {
  const replicas = new Map<number, number>();
  for (const expert of slots.flat())
    replicas.set(expert, (replicas.get(expert) ?? 0) + 1);
  const shares = slots.map(rankSlots =>
    rankSlots.map(expert => 1 / (replicas.get(expert) ?? 1))
  );
  return {slots, shares};
}

/** Scales popularity so that the mean load of ranks is 1. */
export function scaledToMeanRank(
  popularity: Popularity,
  ranks: number
): readonly number[] {
  const total = popularity.reduce((sum, value) => sum + value, 0);
  if (total === 0) return popularity;
  return popularity.map(value => (value * ranks) / total);
}
