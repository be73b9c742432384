/**
 * Plans which ranks hold the experts of one set, for engines that split the
 * tokens of an expert evenly among the ranks that hold it.
 *
 * A few experts get several times the mean demand, and which ones changes every
 * few seconds. Every pass waits for the rank with the highest load, which has
 * several times the mean if experts are assigned round robin. Plans make few
 * changes, because each copy of an expert takes time and slows passes down
 * while it runs.
 *
 * A slow rank delays every pass as if its load were multiplied by its slowness,
 * so its experts move to other ranks.
 */

/** Experts held by each rank. */
export type ExpertsByRank = readonly (readonly number[])[];

/** Factor by which the work of each rank takes longer than usual; 1 is normal. */
export type RankSlowness = readonly number[];

/** Limits of one plan. */
export interface SpreadLimits {
  /** Expert slots of one rank for this set. */
  readonly places: number;
  /** New experts that each rank may receive in one map switch. */
  readonly maxNewByRank: readonly number[];
  /** Minimum decrease of the skew that pays for one copy. */
  readonly minGainPerCopy: number;
  /** Maximum number of copies, summed over all ranks. */
  readonly maxCopies: number;
  /** Absent: no rank is slow. */
  readonly slowness?: RankSlowness;
}

/** A plan with its effect under the popularity that it was made for. */
export interface SpreadPlan {
  readonly lists: ExpertsByRank;
  readonly copies: number;
  /** Max over mean load of ranks, slowness included. */
  readonly skewBefore: number;
  readonly skewAfter: number;
}

/** Number of most loaded ranks from which moves take load. */
const HOT_RANKS = 2;
/** Number of least loaded ranks to which moves may add load. */
const COOL_RANKS = 12;

/** Skew of a spread: max over mean load of ranks. */
export function spreadSkew(
  lists: ExpertsByRank,
  popularity: readonly number[],
  slowness: RankSlowness = []
): number {
  return new Spread(lists, popularity, slowness).skew;
}

/** Searches greedily for the copies that lower the highest load most. */
export function planSpread(
  current: ExpertsByRank,
  popularity: readonly number[],
  limits: SpreadLimits
): SpreadPlan {
  const spread = new Spread(current, popularity, limits.slowness ?? []);
  const skewBefore = spread.skew;
  let copies = 0;
  while (copies < limits.maxCopies) {
    const costBefore = spread.cost;
    const move = bestMove(spread, limits);
    if (move === undefined) break;
    const skew = spread.skew;
    spread.apply(move);
    const gain = skew - spread.skew;
    const isNegligible =
      costBefore - spread.cost < costBefore * MIN_RELATIVE_COST_DROP;
    if (isNegligible || gain < -limits.minGainPerCopy) {
      spread.apply(inverseOf(move));
      break;
    }
    copies += move.filter(change => change.add !== undefined).length;
  }
  const skewAfter = spread.skew;
  const isWorthwhile = skewBefore - skewAfter >= limits.minGainPerCopy * copies;
  return isWorthwhile && copies > 0
    ? {lists: spread.toLists(), copies, skewBefore, skewAfter}
    : {lists: current, copies: 0, skewBefore, skewAfter: skewBefore};
}

/** A move must lower the cost by at least this ratio to be applied. */
const MIN_RELATIVE_COST_DROP = 0.004;

/** Adds an expert to a rank, drops one, or both. */
interface Change {
  readonly rank: number;
  readonly add?: number;
  readonly drop?: number;
}

type Move = readonly Change[];

/**
 * Mutable state of the search; loads are relative to the mean. A plan for a
 * large group evaluates a hundred thousand moves on the event loop that also
 * serves callers, so the cost of a move is computed only from the loads that it
 * changes, without applying it.
 */
class Spread {
  readonly loads: number[];
  private costSum = 0;
  private readonly expertsByRank: number[][];
  private readonly ranksByExpert: number[][];
  /** Experts that each rank held before the plan. */
  private readonly initialExperts: readonly ReadonlySet<number>[];
  /** Number of experts that each rank received since. */
  private readonly addedByRank: number[];
  private readonly loadByExpert: readonly number[];
  /** Change of each load by the move under evaluation. */
  private readonly shift: number[];
  private affectedRanks: number[] = [];

  constructor(
    lists: ExpertsByRank,
    popularity: readonly number[],
    private readonly slowness: RankSlowness
  ) {
    const total = popularity.reduce((sum, part) => sum + part, 0) || 1;
    this.loadByExpert = popularity.map(part => (part * lists.length) / total);
    this.initialExperts = lists.map(list => new Set(list));
    this.expertsByRank = lists.map(list => [...list]);
    this.ranksByExpert = popularity.map(() => []);
    this.addedByRank = lists.map(() => 0);
    this.loads = lists.map(() => 0);
    this.shift = lists.map(() => 0);
    lists.forEach((list, rank) =>
      list.forEach(expert => this.ranksByExpert[expert]?.push(rank))
    );
    this.ranksByExpert.forEach((ranks, expert) => {
      for (const rank of ranks) this.addLoad(rank, this.loadPerReplica(expert));
    });
  }

  get skew(): number {
    return Math.max(...this.loads);
  }

  /** Sum of the costs of all loads, updated incrementally with each change. */
  get cost(): number {
    return this.costSum;
  }

  expertsOn(rank: number): readonly number[] {
    return this.expertsByRank[rank] ?? [];
  }

  ranksHolding(expert: number): readonly number[] {
    return this.ranksByExpert[expert] ?? [];
  }

  /**
   * Whether the rank lacks the expert and may receive it. An expert that it held
   * before the plan needs no copy.
   */
  canAdd(rank: number, expert: number, limits: SpreadLimits): boolean {
    if (this.ranksHolding(expert).includes(rank)) return false;
    if (this.initialExperts[rank]?.has(expert)) return true;
    return (this.addedByRank[rank] ?? 0) < (limits.maxNewByRank[rank] ?? 0);
  }

  /** Cost after a move, without applying it. */
  costAfter(move: Move): number {
    for (const change of move) {
      if (change.add !== undefined) this.addExpertDelta(change.add, move);
      if (change.drop !== undefined && !addsExpert(move, change.drop))
        this.addExpertDelta(change.drop, move);
    }
    let cost = this.costSum;
    for (const rank of this.affectedRanks) {
      const before = this.loads[rank] ?? 0;
      cost += costOf(before + (this.shift[rank] ?? 0)) - costOf(before);
      this.shift[rank] = 0;
    }
    this.affectedRanks = [];
    return cost;
  }

  apply(move: Move): void {
    for (const {rank, add, drop} of move) {
      if (add !== undefined) this.addReplica(rank, add);
      if (drop !== undefined) this.removeReplica(rank, drop);
    }
  }

  toLists(): ExpertsByRank {
    return this.expertsByRank.map(experts =>
      [...experts].sort((a, b) => a - b)
    );
  }

  /** Load that the expert puts on each rank that holds it. */
  private loadPerReplica(
    expert: number,
    holders = this.ranksHolding(expert).length
  ) {
    return (this.loadByExpert[expert] ?? 0) / Math.max(1, holders);
  }

  /** Accumulates the load changes that a move causes for one expert. */
  private addExpertDelta(expert: number, move: Move): void {
    const holders = this.ranksHolding(expert);
    let count = holders.length;
    for (const {add, drop} of move) {
      if (add === expert) count++;
      if (drop === expert) count--;
    }
    const before = this.loadPerReplica(expert);
    const after = this.loadPerReplica(expert, count);
    for (const rank of holders) this.addRankDelta(rank, after - before);
    for (const {rank, add, drop} of move) {
      if (add === expert) this.addRankDelta(rank, after);
      if (drop === expert) this.addRankDelta(rank, -after);
    }
  }

  private addRankDelta(rank: number, load: number): void {
    this.affectedRanks.push(rank);
    this.shift[rank] =
      (this.shift[rank] ?? 0) + load * (this.slowness[rank] ?? 1);
  }

  private addReplica(rank: number, expert: number): void {
    this.changeReplicas(expert, () => {
      this.expertsByRank[rank]?.push(expert);
      this.ranksByExpert[expert]?.push(rank);
    });
    if (!this.initialExperts[rank]?.has(expert)) this.countAdded(rank, 1);
  }

  private removeReplica(rank: number, expert: number): void {
    this.changeReplicas(expert, () => {
      remove(this.expertsByRank[rank] ?? [], expert);
      remove(this.ranksByExpert[expert] ?? [], rank);
    });
    if (!this.initialExperts[rank]?.has(expert)) this.countAdded(rank, -1);
  }

  private countAdded(rank: number, by: number): void {
    this.addedByRank[rank] = (this.addedByRank[rank] ?? 0) + by;
  }

  private changeReplicas(expert: number, change: () => void): void {
    const before = this.loadPerReplica(expert);
    for (const rank of this.ranksHolding(expert)) this.addLoad(rank, -before);
    change();
    const after = this.loadPerReplica(expert);
    for (const rank of this.ranksHolding(expert)) this.addLoad(rank, after);
  }

  private addLoad(rank: number, load: number): void {
    const before = this.loads[rank] ?? 0;
    const after = before + load * (this.slowness[rank] ?? 1);
    this.loads[rank] = after;
    this.costSum += costOf(after) - costOf(before);
  }
}

function remove(list: number[], value: number): void {
  const index = list.indexOf(value);
  if (index >= 0) list.splice(index, 1);
}

function addsExpert(move: Move, expert: number): boolean {
  return move.some(({add}) => add === expert);
}

function inverseOf(move: Move): Move {
  return [...move]
    .reverse()
    .map(({rank, add, drop}) => ({rank, add: drop, drop: add}));
}

/** Eighth power: the highest loads dominate the sum. */
function costOf(load: number): number {
  const square = load * load;
  const fourth = square * square;
  return fourth * fourth;
}

function bestMove(spread: Spread, limits: SpreadLimits): Move | undefined {
  let best: Move | undefined;
  let lowestCost = spread.cost;
  const order = ranksByLoad(spread);
  const cool = order.slice(-COOL_RANKS);
  for (const hot of order.slice(0, HOT_RANKS))
    for (const move of movesFrom(spread, hot, cool, limits)) {
      const cost = spread.costAfter(move);
      if (cost >= lowestCost) continue;
      lowestCost = cost;
      best = move;
    }
  return best;
}

/** Ranks by decreasing load. */
function ranksByLoad(spread: Spread): readonly number[] {
  return spread.loads
    .map((load, rank) => ({load, rank}))
    .sort((a, b) => b.load - a.load)
    .map(({rank}) => rank);
}

/** Moves that take load from a hot rank: a further replica, a swap or a drop. */
function* movesFrom(
  spread: Spread,
  hot: number,
  cool: readonly number[],
  limits: SpreadLimits
): Generator<Move> {
  const hotLoad = spread.loads[hot] ?? 0;
  for (const expert of spread.expertsOn(hot)) {
    if (spread.ranksHolding(expert).length > 1)
      yield [{rank: hot, drop: expert}];
    for (const rank of cool) {
      if (rank === hot || (spread.loads[rank] ?? 0) >= hotLoad) continue;
      if (!spread.canAdd(rank, expert, limits)) continue;
      yield* movesTo(spread, hot, rank, expert, limits);
    }
  }
}

function* movesTo(
  spread: Spread,
  hot: number,
  rank: number,
  expert: number,
  limits: SpreadLimits
): Generator<Move> {
  const held = spread.expertsOn(rank);
  if (held.length < limits.places) yield [{rank, add: expert}];
  for (const replaced of held) {
    const hasOtherReplica = spread.ranksHolding(replaced).length > 1;
    if (hasOtherReplica) yield [{rank, add: expert, drop: replaced}];
    else if (spread.canAdd(hot, replaced, limits))
      yield [
        {rank, add: expert, drop: replaced},
        {rank: hot, add: replaced, drop: expert},
      ];
  }
}
