/**
 * Searches for the few slot changes that lower the skew most. The tokens of the
 * experts concerned are split anew before each change is evaluated.
 */

import type {ExpertMap} from '../core/mapMessages';
import type {Popularity, SlotChange} from './placement';
import type {SharingGroups, Splitting} from './placementSplit';
import {MAX_SWEEPS, SplitState, waterLevel} from './placementSplit';

/** Limits of one plan. */
export interface RebalanceLimits {
  /** Maximum number of weight loads from the store, over all ranks. */
  readonly maxLoads: number;
  /** Maximum number of weight loads of a compound move. */
  readonly maxCompoundLoads: number;
  /** Maximum number of weight loads on one rank: its memory for staged weights. */
  readonly maxLoadsPerRank: number;
  /** Minimum decrease of the skew per weight load. */
  readonly minGainPerLoad: number;
}

/**
 * Slot changes that only pay off together: a replacement (one weight load), a
 * swap (two) or a compound move, which is a replacement with follow-up moves.
 */
export type Move = readonly SlotChange[];

/** A plan with the skews expected under the popularity that it was made for. */
export interface RebalancePlan {
  /** In the order in which they must be applied. */
  readonly moves: readonly Move[];
  /** With the current slots and shares. */
  readonly skewBefore: number;
  /** With the current slots and the best split. */
  readonly skewBestSplit: number;
  readonly skewAfter: number;
}

/** Number of moves with the best estimates that are evaluated exactly. */
const MAX_EVALUATED_MOVES = 16;
const MAX_EVALUATED_COMPOUNDS = 8;
/** Skew above which compound moves are searched; that search takes longer. */
const MIN_COMPOUND_SKEW = 1.03;
/** Sweeps for a split that is only evaluated. */
const TRIAL_SWEEPS = 8;
/** Number of most loaded ranks from which moves take load. */
const HOT_RANKS = 2;
/** The same, including the ranks that share load with them. */
const MAX_HOT_RANKS_IN_GROUPS = 12;

interface Candidate {
  readonly move: Move;
  /** Estimated change of the imbalance; lower is better. */
  readonly score: number;
}

/** Searches for the best split and the best few slot changes. */
export function planRebalance(
  current: ExpertMap,
  popularity: Popularity,
  limits: RebalanceLimits,
  splitting: Splitting = 'weighted'
): RebalancePlan {
  const start = SplitState.of(current, popularity, splitting);
  const skewBefore = start.softSkew();
  start.relax(MAX_SWEEPS);
  const skewBestSplit = start.softSkew();
  const noWeightLoads = current.slots.map(() => 0);
  let found: Trial = {
    state: start,
    moves: [],
    changes: [],
    weightLoadsByRank: noWeightLoads,
  };
  while (found.changes.length < limits.maxLoads) {
    const next = bestMove(found, limits.maxLoads, limits);
    if (next === undefined) break;
    found = next;
  }
  if (found.changes.length === 0 && start.skew() > MIN_COMPOUND_SKEW)
    found = mergeMoves(bestCompound(found, limits)) ?? found;
  found.state.relax(MAX_SWEEPS);
  const skewAfter = found.state.softSkew();
  return {moves: found.moves, skewBefore, skewBestSplit, skewAfter};
}

/** The map with changed slots and the best split for a given popularity. */
export function withChanges(
  map: ExpertMap,
  changes: readonly SlotChange[],
  popularity: Popularity,
  splitting: Splitting = 'weighted'
): ExpertMap {
  const state = SplitState.of(map, popularity, splitting);
  changes.forEach(change => state.change(change));
  state.relax(MAX_SWEEPS);
  return state.toMap();
}

/** A state of the search and the moves that lead to it. */
interface Trial {
  readonly state: SplitState;
  readonly moves: readonly Move[];
  /** Slot changes of all moves. */
  readonly changes: readonly SlotChange[];
  readonly weightLoadsByRank: readonly number[];
}

function withMove(trial: Trial, move: Move): Trial {
  const state = trial.state.clone();
  move.forEach(change => state.change(change));
  state.relax(TRIAL_SWEEPS);
  const weightLoadsByRank = [...trial.weightLoadsByRank];
  for (const {rank} of move)
    weightLoadsByRank[rank] = (weightLoadsByRank[rank] ?? 0) + 1;
  const moves = [...trial.moves, move];
  const changes = [...trial.changes, ...move];
  return {state, moves, changes, weightLoadsByRank};
}

function mergeMoves(trial: Trial | undefined): Trial | undefined {
  return trial && {...trial, moves: [trial.changes]};
}

/** Decrease of the expected skew per weight load, from one trial to another. */
function gainPerLoad(from: Trial, to: Trial): number {
  const loads = to.changes.length - from.changes.length;
  return (from.state.softSkew() - to.state.softSkew()) / loads;
}

/** Trial with the highest gain per weight load, if it exceeds the minimum. */
function bestTrial(
  from: Trial,
  trials: readonly Trial[],
  limits: RebalanceLimits
): Trial | undefined {
  let best: Trial | undefined;
  let highestGain = limits.minGainPerLoad;
  for (const trial of trials) {
    const gain = gainPerLoad(from, trial);
    if (gain <= highestGain) continue;
    highestGain = gain;
    best = trial;
  }
  return best;
}

/** The best single replacement or swap. */
function bestMove(
  from: Trial,
  maxLoads: number,
  limits: RebalanceLimits
): Trial | undefined {
  const canLoad = from.weightLoadsByRank.map(n => n < limits.maxLoadsPerRank);
  const {replacements, swaps} = candidates(from.state, canLoad);
  const moves = [
    ...lowestScored(replacements, MAX_EVALUATED_MOVES),
    ...lowestScored(swaps, MAX_EVALUATED_MOVES),
  ];
  const fitting = moves.filter(
    ({move}) => from.changes.length + move.length <= maxLoads
  );
  return bestTrial(
    from,
    fitting.map(({move}) => withMove(from, move)),
    limits
  );
}

/**
 * A replacement that may raise the skew by itself, with follow-up moves that
 * unload the ranks affected by the lost replica. Without compound moves the
 * search ends when all spare replicas are in use but another expert needs one.
 */
function bestCompound(from: Trial, limits: RebalanceLimits): Trial | undefined {
  const canLoad = from.weightLoadsByRank.map(() => true);
  const hottest = hottestRank(from.state.loads);
  const largest = mostPopularOn(from.state, hottest);
  const firsts = replacementsFor(from.state, hottest, canLoad).filter(
    ({move}) => move[0]?.expert === largest
  );
  const trials: Trial[] = [];
  for (const {move} of lowestScored(firsts, MAX_EVALUATED_COMPOUNDS)) {
    let trial = withMove(from, move);
    while (trial.changes.length < limits.maxCompoundLoads) {
      const next = bestMove(trial, limits.maxCompoundLoads, limits);
      if (next === undefined) break;
      trials.push(next);
      trial = next;
    }
  }
  return bestTrial(from, trials, limits);
}

function hottestRank(loads: readonly number[]): number {
  return loads.indexOf(Math.max(...loads));
}

function mostPopularOn(state: SplitState, rank: number): number {
  const load = (expert: number) => state.popularity[expert] ?? 0;
  return state.slotsOf(rank).reduce((a, b) => (load(b) > load(a) ? b : a));
}

function candidates(
  state: SplitState,
  canLoad: readonly boolean[]
): {readonly replacements: Candidate[]; readonly swaps: Candidate[]} {
  const groups = state.sharingGroups();
  const replacements: Candidate[] = [];
  const swaps: Candidate[] = [];
  for (const rank of hotRanks(state, groups)) {
    replacements.push(...replacementsFor(state, rank, canLoad));
    if (canLoad[rank]) swaps.push(...swapsFor(state, rank, canLoad, groups));
  }
  return {replacements, swaps};
}

/** The most loaded ranks and those that share load with them. */
function hotRanks(state: SplitState, groups: SharingGroups): readonly number[] {
  const order = state.loads
    .map((load, rank) => ({load, rank}))
    .sort((a, b) => b.load - a.load);
  const hottest = order.slice(0, HOT_RANKS).map(({rank}) => rank);
  const hotGroups = new Set(hottest.map(rank => groups.groupOf[rank]));
  return order
    .filter(({rank}) => hotGroups.has(groups.groupOf[rank]))
    .slice(0, MAX_HOT_RANKS_IN_GROUPS)
    .map(({rank}) => rank);
}

function lowestScored(list: Candidate[], count: number): readonly Candidate[] {
  return list.sort((a, b) => a.score - b.score).slice(0, count);
}

/** Replacements of a spare replica by a further replica of a hot rank's expert. */
function replacementsFor(
  state: SplitState,
  hot: number,
  canLoad: readonly boolean[]
): readonly Candidate[] {
  const found: Candidate[] = [];
  const wanted = state.slotsOf(hot);
  state.loads.forEach((_, rank) => {
    if (!canLoad[rank]) return;
    state.slotsOf(rank).forEach((replaced, slot) => {
      if (state.replicasOf(replaced).length < 2) return;
      for (const expert of wanted) {
        if (expert === replaced || state.holds(rank, expert)) continue;
        const score = scoreReplacement(state, {rank, slot, expert});
        found.push({move: [{rank, slot, expert}], score});
      }
    });
  });
  return found;
}

/**
 * Change of the excess load of the ranks that hold either expert, after both are
 * split anew.
 */
function scoreReplacement(state: SplitState, change: SlotChange): number {
  const {rank, slot, expert} = change;
  const replaced = state.expertAt(rank, slot);
  const loads = new Map<number, number>();
  const load = (r: number) => loads.get(r) ?? state.loads[r] ?? 0;
  let before = 0;
  const fill = (of: number, ranks: readonly number[]) => {
    const replicas = state.replicasOf(of);
    for (const replica of replicas)
      loads.set(replica.rank, load(replica.rank) - replica.amount);
    const level = waterLevel(ranks.map(load), state.popularity[of] ?? 0);
    for (const r of ranks) loads.set(r, Math.max(load(r), level));
  };
  const ranksOf = (of: number) => state.replicasOf(of).map(r => r.rank);
  fill(
    replaced,
    ranksOf(replaced).filter(r => r !== rank)
  );
  fill(expert, [...ranksOf(expert), rank]);
  let after = 0;
  for (const [r, value] of loads) {
    before += excessOf(state.loads[r] ?? 0);
    after += excessOf(value);
  }
  return after - before;
}

/** Swaps of an expert of a hot rank with a less popular one of another rank. */
function swapsFor(
  state: SplitState,
  hot: number,
  canLoad: readonly boolean[],
  groups: SharingGroups
): readonly Candidate[] {
  const found: Candidate[] = [];
  const hotLoad = state.loads[hot] ?? 0;
  const hotSize = sizeOfGroup(groups, hot);
  state.loads.forEach((load, rank) => {
    const isOtherGroup = groups.groupOf[rank] !== groups.groupOf[hot];
    if (!isOtherGroup || !canLoad[rank] || load >= hotLoad) return;
    const size = sizeOfGroup(groups, rank);
    state.slotsOf(hot).forEach((hotExpert, slot) =>
      state.slotsOf(rank).forEach((otherExpert, otherSlot) => {
        // With replicas, the estimate would need the split after the swap.
        if (
          !hasOneReplica(state, hotExpert) ||
          !hasOneReplica(state, otherExpert)
        )
          return;
        const transferred =
          (state.popularity[hotExpert] ?? 0) -
          (state.popularity[otherExpert] ?? 0);
        if (transferred <= 0) return;
        // The change is distributed over all ranks that share load with either one.
        const score =
          hotSize * imbalance(hotLoad - transferred / hotSize) +
          size * imbalance(load + transferred / size) -
          hotSize * imbalance(hotLoad) -
          size * imbalance(load);
        const move = [
          {rank: hot, slot, expert: otherExpert},
          {rank, slot: otherSlot, expert: hotExpert},
        ];
        found.push({move, score});
      })
    );
  });
  return found;
}

function sizeOfGroup(groups: SharingGroups, rank: number): number {
  return groups.sizes[groups.groupOf[rank] ?? rank] ?? 1;
}

function hasOneReplica(state: SplitState, expert: number): boolean {
  return state.replicasOf(expert).length === 1;
}

function imbalance(load: number): number {
  return (load - 1) ** 2;
}

function excessOf(load: number): number {
  return load > 1 ? (load - 1) ** 2 : 0;
}
