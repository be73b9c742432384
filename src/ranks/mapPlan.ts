/** Plans the next map of a group: which experts each rank holds, set by set. */

import {sum} from '../core/sum';
import type {MapLists} from '../ports/rankPort';
import {copiesARank} from '../policy/copyLimit';
import {planSpread, spreadSkew} from '../policy/expertSpread';
import type {EngineProfile} from '../site/site';
import type {ExpertDemand} from './expertDemand';

/** Fall of the highest load, in mean loads, that pays for one copy. */
const MIN_GAIN_PER_COPY = 0.01;

/** What a plan starts from. */
export interface MapPlanInput {
  /** Map in force. */
  readonly current: MapLists;
  readonly demand: ExpertDemand;
  readonly engine: EngineProfile;
  /** Times that the work of each rank takes as long as usual. */
  readonly slowness: readonly number[];
}

/** A plan for all sets. */
export interface MapPlan {
  readonly lists: MapLists;
  /** Mean skew of the sets, slow ranks included. */
  readonly before: number;
  readonly after: number;
  /** Mean skew before if all ranks were in order. */
  readonly beforeIfInOrder: number;
  readonly copies: number;
  /** Most copies that one rank makes. */
  readonly copiesOnRank: number;
}

/**
 * Plans set by set and yields to the event loop between them. The sets with the
 * highest skew come first, since ranks take few copies in all.
 */
export async function planMap(input: MapPlanInput): Promise<MapPlan> {
  const {current, demand, engine, slowness} = input;
  const skews = skewsOf(current, demand, slowness);
  const before = meanOf(skews);
  const beforeIfInOrder = meanOf(skewsOf(current, demand));
  const perRank = copiesARank({
    skew: before,
    skewIfInOrder: beforeIfInOrder,
    copyMs: engine.expertCopyMs,
  });
  const left = (current[0] ?? []).map(() => perRank);
  const lists = [...current];
  let copies = 0;
  const order = skews
    .map((skew, set) => ({skew, set}))
    .sort((a, b) => b.skew - a.skew);
  for (const [position, {set}] of order.entries()) {
    const plan = planSpread(current[set] ?? [], demand.ofSet(set), {
      places: engine.placesPerRank,
      newOnRank: left.map(count => Math.min(count, engine.sparePlaces)),
      minGainPerCopy: MIN_GAIN_PER_COPY,
      // An even part of what all ranks take in, for each set that is left.
      maxCopies: Math.ceil(sum(left) / (order.length - position)),
      slowness,
    });
    plan.lists.forEach((list, rank) => {
      const held = current[set]?.[rank] ?? [];
      const fresh = list.filter(expert => !held.includes(expert)).length;
      left[rank] = (left[rank] ?? 0) - fresh;
    });
    lists[set] = plan.lists;
    skews[set] = plan.skewAfter;
    copies += plan.copies;
    await new Promise(resolve => setImmediate(resolve));
  }
  const copiesOnRank = perRank - Math.min(...left);
  const after = meanOf(skews);
  return {lists, before, after, beforeIfInOrder, copies, copiesOnRank};
}

/** Highest load over the mean, by set; ranks are in order when not told. */
function skewsOf(
  lists: MapLists,
  demand: ExpertDemand,
  slowness?: readonly number[]
): number[] {
  return lists.map((ofSet, set) =>
    spreadSkew(ofSet, demand.ofSet(set), slowness)
  );
}

function meanOf(values: readonly number[]): number {
  return sum(values) / Math.max(1, values.length);
}
