/**
 * Incremental rebalance: the few slot changes that lower the slowest rank
 * most, each judged after splitting the tokens anew.
 */

import type {ExpertMap} from '../core/mapMessages';
import type {Popularity, SlotChange} from './placement';
import type {LevelGroups} from './placementSplit';
import {FULL_SWEEPS, SplitState, waterLevel} from './placementSplit';

/** Limits of one plan. */
export interface RebalanceLimits {
  /** Most loads from the weight store, over all ranks. */
  readonly maxLoads: number;
  /** Most loads on one rank: its room for staging. */
  readonly maxLoadsPerRank: number;
  /** Least fall of the skew for each load. */
  readonly minGainPerLoad: number;
}

/** One step of a plan: a replacement (one load) or a swap (two loads). */
type Move = readonly SlotChange[];

/** A plan and the skews expected under the popularity that it was made for. */
export interface RebalancePlan {
  /** Slots that get another expert; each is one load. */
  readonly changes: readonly SlotChange[];
  /** With the map as it is, split included. */
  readonly skewNow: number;
  /** With the same slots and the best split. */
  readonly skewSplit: number;
  readonly skewAfter: number;
}

/** Moves whose effect is worked out in full, of those that look best. */
const CANDIDATES = 16;
const TRIAL_SWEEPS = 8;
/** Hottest ranks from which load may be taken, without and with their groups. */
const HOT_RANKS = 2;
const MAX_HOT_RANKS = 12;

interface Candidate {
  readonly move: Move;
  /** Estimated excess of the ranks concerned; lower is better. */
  readonly score: number;
}

/** Looks for the best split and the best few slot changes. */
export function planRebalance(
  current: ExpertMap,
  popularity: Popularity,
  limits: RebalanceLimits
): RebalancePlan {
  let state = SplitState.of(current, popularity);
  const skewNow = state.softSkew();
  state.relax(FULL_SWEEPS);
  const skewSplit = state.softSkew();
  const loadsByRank = current.slots.map(() => 0);
  const changes: SlotChange[] = [];
  while (changes.length < limits.maxLoads) {
    const open = loadsByRank.map(n => n < limits.maxLoadsPerRank);
    const best = bestMove(state, open, limits.maxLoads - changes.length);
    if (best === undefined) break;
    if (best.gainPerLoad < limits.minGainPerLoad) break;
    state = best.state;
    changes.push(...best.move);
    for (const {rank} of best.move)
      loadsByRank[rank] = (loadsByRank[rank] ?? 0) + 1;
  }
  state.relax(FULL_SWEEPS);
  return {changes, skewNow, skewSplit, skewAfter: state.softSkew()};
}

/** The map with slots changed, and the best split for a popularity. */
export function withChanges(
  map: ExpertMap,
  changes: readonly SlotChange[],
  popularity: Popularity
): ExpertMap {
  const state = SplitState.of(map, popularity);
  changes.forEach(change => state.change(change));
  state.relax(FULL_SWEEPS);
  return state.toMap();
}

interface TriedMove {
  readonly move: Move;
  readonly state: SplitState;
  readonly gainPerLoad: number;
}

/** The move with the largest fall of the expected skew for each load. */
function bestMove(
  state: SplitState,
  open: readonly boolean[],
  budget: number
): TriedMove | undefined {
  const before = state.softSkew();
  let best: TriedMove | undefined;
  for (const {move} of candidates(state, open, budget)) {
    const trial = state.clone();
    move.forEach(change => trial.change(change));
    trial.relax(TRIAL_SWEEPS);
    const gainPerLoad = (before - trial.softSkew()) / move.length;
    if (gainPerLoad <= (best?.gainPerLoad ?? 0)) continue;
    best = {move, state: trial, gainPerLoad};
  }
  return best;
}

function candidates(
  state: SplitState,
  open: readonly boolean[],
  budget: number
): readonly Candidate[] {
  const groups = state.levelGroups();
  const replacements: Candidate[] = [];
  const swaps: Candidate[] = [];
  for (const rank of hotRanks(state, groups)) {
    replacements.push(...replacementsFor(state, rank, open));
    if (budget < 2 || !open[rank]) continue;
    swaps.push(...swapsFor(state, rank, open, groups));
  }
  return [...best(replacements), ...best(swaps)];
}

/** The hottest ranks and those that share their load. */
function hotRanks(state: SplitState, groups: LevelGroups): readonly number[] {
  const order = state.loads
    .map((load, rank) => ({load, rank}))
    .sort((a, b) => b.load - a.load);
  const hottest = order.slice(0, HOT_RANKS).map(({rank}) => rank);
  const hotGroups = new Set(hottest.map(rank => groups.groupOf[rank]));
  return order
    .filter(({rank}) => hotGroups.has(groups.groupOf[rank]))
    .slice(0, MAX_HOT_RANKS)
    .map(({rank}) => rank);
}

function best(list: Candidate[]): readonly Candidate[] {
  return list.sort((a, b) => a.score - b.score).slice(0, CANDIDATES);
}

/** A further replica of a hot rank's expert, in place of a spare replica. */
function replacementsFor(
  state: SplitState,
  hot: number,
  open: readonly boolean[]
): readonly Candidate[] {
  const found: Candidate[] = [];
  const wanted = state.slotsOf(hot);
  state.loads.forEach((_, rank) => {
    if (!open[rank]) return;
    state.slotsOf(rank).forEach((old, slot) => {
      if (state.replicasOf(old).length < 2) return;
      for (const expert of wanted) {
        if (expert === old || state.holds(rank, expert)) continue;
        const score = scoreReplacement(state, {rank, slot, expert});
        found.push({move: [{rank, slot, expert}], score});
      }
    });
  });
  return found;
}

/** Excess over the ranks that hold either expert, after filling both. */
function scoreReplacement(state: SplitState, change: SlotChange): number {
  const {rank, slot, expert} = change;
  const old = state.expertAt(rank, slot);
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
    old,
    ranksOf(old).filter(r => r !== rank)
  );
  fill(expert, [...ranksOf(expert), rank]);
  let after = 0;
  for (const [r, value] of loads) {
    before += excessOf(state.loads[r] ?? 0);
    after += excessOf(value);
  }
  return after - before;
}

/** Exchanges of an expert of a hot rank with a smaller one elsewhere. */
function swapsFor(
  state: SplitState,
  hot: number,
  open: readonly boolean[],
  groups: LevelGroups
): readonly Candidate[] {
  const found: Candidate[] = [];
  const hotLoad = state.loads[hot] ?? 0;
  const hotSize = sizeOfGroup(groups, hot);
  state.loads.forEach((load, rank) => {
    const apart = groups.groupOf[rank] !== groups.groupOf[hot];
    if (!apart || !open[rank] || load >= hotLoad) return;
    const size = sizeOfGroup(groups, rank);
    state.slotsOf(hot).forEach((mine, slot) =>
      state.slotsOf(rank).forEach((theirs, theirSlot) => {
        // How far replicas shift their load after a swap is not known here.
        if (!isSingle(state, mine) || !isSingle(state, theirs)) return;
        const by =
          (state.popularity[mine] ?? 0) - (state.popularity[theirs] ?? 0);
        if (by <= 0) return;
        // The change spreads over all ranks that share load with either one.
        const score =
          hotSize * imbalance(hotLoad - by / hotSize) +
          size * imbalance(load + by / size) -
          hotSize * imbalance(hotLoad) -
          size * imbalance(load);
        const move = [
          {rank: hot, slot, expert: theirs},
          {rank, slot: theirSlot, expert: mine},
        ];
        found.push({move, score});
      })
    );
  });
  return found;
}

function sizeOfGroup(groups: LevelGroups, rank: number): number {
  return groups.sizes[groups.groupOf[rank] ?? rank] ?? 1;
}

function isSingle(state: SplitState, expert: number): boolean {
  return state.replicasOf(expert).length === 1;
}

function imbalance(load: number): number {
  return (load - 1) ** 2;
}

function excessOf(load: number): number {
  return load > 1 ? (load - 1) ** 2 : 0;
}
