/**
 * Incremental rebalance: the few slot changes that lower the slowest rank
 * most, each judged after splitting the tokens anew.
 */

import type {ExpertMap} from '../core/mapMessages';
import type {Popularity, SlotChange} from './placement';
import type {LevelGroups, Splitting} from './placementSplit';
import {FULL_SWEEPS, SplitState, waterLevel} from './placementSplit';

/** Limits of one plan. */
export interface RebalanceLimits {
  /** Most loads from the weight store, over all ranks. */
  readonly maxLoads: number;
  /** Most loads of a replacement with the moves that follow from it. */
  readonly maxCompoundLoads: number;
  /** Most loads on one rank: its room for staging. */
  readonly maxLoadsPerRank: number;
  /** Least fall of the skew for each load. */
  readonly minGainPerLoad: number;
}

/**
 * Changes that only make sense together: a replacement (one load), a swap (two)
 * or a replacement with what follows from it.
 */
export type Move = readonly SlotChange[];

/** A plan and the skews expected under the popularity that it was made for. */
export interface RebalancePlan {
  /** In the order in which they are to be made. */
  readonly moves: readonly Move[];
  /** With the map as it is, split included. */
  readonly skewNow: number;
  /** With the same slots and the best split. */
  readonly skewSplit: number;
  readonly skewAfter: number;
}

/** Moves whose effect is worked out in full, of those that look best. */
const CANDIDATES = 16;
const COMPOUND_CANDIDATES = 8;
/** Skew above which compound moves are looked for; they take longer to find. */
const COMPOUND_FROM = 1.03;
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
  limits: RebalanceLimits,
  splitting: Splitting = 'weighted'
): RebalancePlan {
  const start = SplitState.of(current, popularity, splitting);
  const skewNow = start.softSkew();
  start.relax(FULL_SWEEPS);
  const skewSplit = start.softSkew();
  const none = current.slots.map(() => 0);
  let found: Trial = {state: start, moves: [], changes: [], loadsByRank: none};
  while (found.changes.length < limits.maxLoads) {
    const next = bestMove(found, limits.maxLoads, limits);
    if (next === undefined) break;
    found = next;
  }
  if (found.changes.length === 0 && start.skew() > COMPOUND_FROM)
    found = asOneMove(bestCompound(found, limits)) ?? found;
  found.state.relax(FULL_SWEEPS);
  const skewAfter = found.state.softSkew();
  return {moves: found.moves, skewNow, skewSplit, skewAfter};
}

/** The map with slots changed, and the best split for a popularity. */
export function withChanges(
  map: ExpertMap,
  changes: readonly SlotChange[],
  popularity: Popularity,
  splitting: Splitting = 'weighted'
): ExpertMap {
  const state = SplitState.of(map, popularity, splitting);
  changes.forEach(change => state.change(change));
  state.relax(FULL_SWEEPS);
  return state.toMap();
}

/** A state in the search, and how it was reached. */
interface Trial {
  readonly state: SplitState;
  readonly moves: readonly Move[];
  /** All changes of the moves. */
  readonly changes: readonly SlotChange[];
  readonly loadsByRank: readonly number[];
}

function after(trial: Trial, move: Move): Trial {
  const state = trial.state.clone();
  move.forEach(change => state.change(change));
  state.relax(TRIAL_SWEEPS);
  const loadsByRank = [...trial.loadsByRank];
  for (const {rank} of move) loadsByRank[rank] = (loadsByRank[rank] ?? 0) + 1;
  const moves = [...trial.moves, move];
  const changes = [...trial.changes, ...move];
  return {state, moves, changes, loadsByRank};
}

function asOneMove(trial: Trial | undefined): Trial | undefined {
  return trial && {...trial, moves: [trial.changes]};
}

/** Fall of the expected skew from one trial to a later one, for each load. */
function gainPerLoad(from: Trial, to: Trial): number {
  const loads = to.changes.length - from.changes.length;
  return (from.state.softSkew() - to.state.softSkew()) / loads;
}

/** The later trial with the largest gain for each load, if it is enough. */
function bestOf(
  from: Trial,
  trials: readonly Trial[],
  limits: RebalanceLimits
): Trial | undefined {
  let found: Trial | undefined;
  let most = limits.minGainPerLoad;
  for (const trial of trials) {
    const gain = gainPerLoad(from, trial);
    if (gain <= most) continue;
    most = gain;
    found = trial;
  }
  return found;
}

/** The best single replacement or swap. */
function bestMove(
  from: Trial,
  maxLoads: number,
  limits: RebalanceLimits
): Trial | undefined {
  const open = from.loadsByRank.map(n => n < limits.maxLoadsPerRank);
  const {replacements, swaps} = candidates(from.state, open);
  const moves = [...best(replacements, CANDIDATES), ...best(swaps, CANDIDATES)];
  const fitting = moves.filter(
    ({move}) => from.changes.length + move.length <= maxLoads
  );
  return bestOf(
    from,
    fitting.map(({move}) => after(from, move)),
    limits
  );
}

/**
 * A replacement that makes things worse at first, with the moves that then
 * put the ranks right which lost a replica. Without it the search ends where
 * every spare replica is in use but another expert needs one more.
 */
function bestCompound(from: Trial, limits: RebalanceLimits): Trial | undefined {
  const open = from.loadsByRank.map(() => true);
  const hottest = indexOfMost(from.state.loads);
  const largest = largestOn(from.state, hottest);
  const firsts = replacementsFor(from.state, hottest, open).filter(
    ({move}) => move[0]?.expert === largest
  );
  const trials: Trial[] = [];
  for (const {move} of best(firsts, COMPOUND_CANDIDATES)) {
    let trial = after(from, move);
    while (trial.changes.length < limits.maxCompoundLoads) {
      const next = bestMove(trial, limits.maxCompoundLoads, limits);
      if (next === undefined) break;
      trials.push(next);
      trial = next;
    }
  }
  return bestOf(from, trials, limits);
}

function indexOfMost(loads: readonly number[]): number {
  return loads.indexOf(Math.max(...loads));
}

function largestOn(state: SplitState, rank: number): number {
  const load = (expert: number) => state.popularity[expert] ?? 0;
  return state.slotsOf(rank).reduce((a, b) => (load(b) > load(a) ? b : a));
}

function candidates(
  state: SplitState,
  open: readonly boolean[]
): {readonly replacements: Candidate[]; readonly swaps: Candidate[]} {
  const groups = state.levelGroups();
  const replacements: Candidate[] = [];
  const swaps: Candidate[] = [];
  for (const rank of hotRanks(state, groups)) {
    replacements.push(...replacementsFor(state, rank, open));
    if (open[rank]) swaps.push(...swapsFor(state, rank, open, groups));
  }
  return {replacements, swaps};
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

function best(list: Candidate[], count: number): readonly Candidate[] {
  return list.sort((a, b) => a.score - b.score).slice(0, count);
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
