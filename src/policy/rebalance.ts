/**
 * Incremental rebalance: the few slot changes that lower the slowest rank
 * most, each judged after splitting the tokens anew.
 */

import type {ExpertMap} from '../core/mapMessages';
import type {Popularity, SlotChange} from './placement';
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
  readonly map: ExpertMap;
  readonly loads: number;
  /** With the map as it is, split included. */
  readonly skewNow: number;
  /** With the same slots and the best split. */
  readonly skewSplit: number;
  readonly skewAfter: number;
}

/** Moves whose effect is worked out in full, of those that look best. */
const CANDIDATES = 16;
const TRIAL_SWEEPS = 8;
/** Hottest ranks from which load may be taken. */
const HOT_RANKS = 2;

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
  const skewNow = state.skew();
  state.relax(FULL_SWEEPS);
  const skewSplit = state.skew();
  const loadsByRank = current.slots.map(() => 0);
  let loads = 0;
  while (loads < limits.maxLoads) {
    const open = loadsByRank.map(n => n < limits.maxLoadsPerRank);
    const best = bestMove(state, open, limits.maxLoads - loads);
    if (best === undefined) break;
    const gain = state.skew() - best.state.skew();
    if (gain < limits.minGainPerLoad * best.move.length) break;
    state = best.state;
    loads += best.move.length;
    for (const {rank} of best.move)
      loadsByRank[rank] = (loadsByRank[rank] ?? 0) + 1;
  }
  state.relax(FULL_SWEEPS);
  return {
    map: state.toMap(),
    loads,
    skewNow,
    skewSplit,
    skewAfter: state.skew(),
  };
}

interface TriedMove {
  readonly move: Move;
  readonly state: SplitState;
  readonly excessPerLoad: number;
}

/** The move with the largest fall of excess for each load. */
function bestMove(
  state: SplitState,
  open: readonly boolean[],
  budget: number
): TriedMove | undefined {
  const before = state.excess();
  let best: TriedMove | undefined;
  for (const {move} of candidates(state, open, budget)) {
    const trial = state.clone();
    move.forEach(change => trial.change(change));
    trial.relax(TRIAL_SWEEPS);
    const excessPerLoad = (before - trial.excess()) / move.length;
    if (excessPerLoad <= (best?.excessPerLoad ?? 0)) continue;
    best = {move, state: trial, excessPerLoad};
  }
  return best;
}

function candidates(
  state: SplitState,
  open: readonly boolean[],
  budget: number
): readonly Candidate[] {
  const hot = state.loads
    .map((load, rank) => ({load, rank}))
    .sort((a, b) => b.load - a.load)
    .slice(0, HOT_RANKS);
  const replacements: Candidate[] = [];
  const swaps: Candidate[] = [];
  for (const {rank} of hot) {
    replacements.push(...replacementsFor(state, rank, open));
    if (budget >= 2 && open[rank]) swaps.push(...swapsFor(state, rank, open));
  }
  return [...best(replacements), ...best(swaps)];
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
  open: readonly boolean[]
): readonly Candidate[] {
  const found: Candidate[] = [];
  const hotLoad = state.loads[hot] ?? 0;
  state.loads.forEach((load, rank) => {
    if (rank === hot || !open[rank] || load >= hotLoad) return;
    state.slotsOf(hot).forEach((mine, slot) =>
      state.slotsOf(rank).forEach((theirs, theirSlot) => {
        if (state.holds(rank, mine) || state.holds(hot, theirs)) return;
        const by = amountAt(state, mine, hot) - amountAt(state, theirs, rank);
        if (by <= 0) return;
        const score =
          excessOf(hotLoad - by) +
          excessOf(load + by) -
          excessOf(hotLoad) -
          excessOf(load);
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

function amountAt(state: SplitState, expert: number, rank: number): number {
  return state.replicasOf(expert).find(r => r.rank === rank)?.amount ?? 0;
}

function excessOf(load: number): number {
  return load > 1 ? (load - 1) ** 2 : 0;
}
