/** Plans the next map of a group: the experts on each rank, set by set. */

import {sum} from '../core/sum';
import type {GroupExpertMap} from '../ports/rankPort';
import {maxCopiesPerRank} from '../policy/copyLimit';
import {planSpread, spreadSkew} from '../policy/expertSpread';
import type {EngineProfile} from '../site/site';
import type {ExpertDemand} from './expertDemand';

/**
 * Least reduction of the highest load, in mean loads, that justifies one copy.
 */
const MIN_SKEW_REDUCTION_PER_COPY = 0.01;

/** Input of a plan. */
export interface MapPlanInput {
  /** Map in use. */
  readonly current: GroupExpertMap;
  readonly demand: ExpertDemand;
  readonly engine: EngineProfile;
  /** Slowdown factor of each rank; 1 for normal speed. */
  readonly slowness: readonly number[];
}

/** A plan for all sets. */
export interface MapPlan {
  readonly lists: GroupExpertMap;
  /** Mean skew of the sets, including the effect of slow ranks. */
  readonly before: number;
  readonly after: number;
  /** Mean skew before, as if all ranks ran at normal speed. */
  readonly beforeIfInOrder: number;
  readonly copies: number;
  /** Highest number of copies that one rank makes. */
  readonly maxCopiesOnRank: number;
}

/**
 * Plans set by set and yields to the event loop between them. The sets with the
 * highest skew come first, because each rank makes only few copies in total.
 */
export async function planMap(input: MapPlanInput): Promise<MapPlan> {
  const {current, demand, engine, slowness} = input;
  const skews = skewBySet(current, demand, slowness);
  const before = meanOf(skews);
  const beforeIfInOrder = meanOf(skewBySet(current, demand));
  const copiesPerRank = maxCopiesPerRank({
    skew: before,
    skewWithoutSlowRanks: beforeIfInOrder,
    copyMs: engine.expertCopyMs,
  });
  const remaining = (current[0] ?? []).map(() => copiesPerRank);
  const lists = [...current];
  let copies = 0;
  const order = skews
    .map((skew, set) => ({skew, set}))
    .sort((a, b) => b.skew - a.skew);
  for (const [position, {set}] of order.entries()) {
    const plan = planSpread(current[set] ?? [], demand.ofSet(set), {
      places: engine.placesPerRank,
      maxNewByRank: remaining.map(count => Math.min(count, engine.sparePlaces)),
      minGainPerCopy: MIN_SKEW_REDUCTION_PER_COPY,
      // Divides the remaining copies evenly among the remaining sets.
      maxCopies: Math.ceil(sum(remaining) / (order.length - position)),
      slowness,
    });
    plan.lists.forEach((list, rank) => {
      const held = current[set]?.[rank] ?? [];
      const newCopies = list.filter(expert => !held.includes(expert)).length;
      remaining[rank] = (remaining[rank] ?? 0) - newCopies;
    });
    lists[set] = plan.lists;
    skews[set] = plan.skewAfter;
    copies += plan.copies;
    await new Promise(resolve => setImmediate(resolve));
  }
  const maxCopiesOnRank = copiesPerRank - Math.min(...remaining);
  const after = meanOf(skews);
  return {lists, before, after, beforeIfInOrder, copies, maxCopiesOnRank};
}

/** Highest load over the mean, by set; without `slowness`, at normal speed. */
function skewBySet(
  lists: GroupExpertMap,
  demand: ExpertDemand,
  slowness?: readonly number[]
): number[] {
  return lists.map((setLists, set) =>
    spreadSkew(setLists, demand.ofSet(set), slowness)
  );
}

function meanOf(values: readonly number[]): number {
  return sum(values) / Math.max(1, values.length);
}
