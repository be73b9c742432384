/**
 * Spreads the experts of one set over ranks that split each expert's tokens
 * evenly among the ranks that hold it.
 *
 * Pattern: a few experts draw several times the mean, others each
 * few seconds, and every pass waits for the rank with the most. With experts
 * dealt out in turn the most loaded rank has several times the mean, and all
 * streams wait for it. Changes are few: each copy of an expert is paid for and
 * slows passes down while it is made.
 *
 * A rank that is slow makes every pass wait for it as if it had so many times
 * its load; what it holds goes to the others.
 */

/** Experts by rank. */
export type RankLists = readonly (readonly number[])[];

/** Times that the work of each rank takes as long as usual. */
export type RankSlowness = readonly number[];

/** What one plan may do. */
export interface SpreadLimits {
  /** Experts of the set that one rank can hold. */
  readonly places: number;
  /** Experts that one rank can take in with one change of maps. */
  readonly newOnRank: readonly number[];
  /** Least fall of the highest load, in mean loads, that pays for one copy. */
  readonly minGainPerCopy: number;
  /** Most copies over all ranks. */
  readonly maxCopies: number;
  /** All in order when absent. */
  readonly slowness?: RankSlowness;
}

/** A plan and what it is worth under the popularity that it was made for. */
export interface SpreadPlan {
  readonly lists: RankLists;
  readonly copies: number;
  /** Highest load over the mean, before and after. */
  readonly skewBefore: number;
  readonly skewAfter: number;
}

/** Ranks on which a move takes load away: the hottest and its next. */
const HOT_RANKS = 2;
/** Ranks that may take load over: the coolest ones. */
const COOL_RANKS = 12;

/** Highest load over the mean of a spread. */
export function spreadSkew(
  lists: RankLists,
  popularity: readonly number[],
  slowness: RankSlowness = []
): number {
  return new Spread(lists, popularity, slowness).skew;
}

/** Looks for the copies that lower the highest load most. */
export function planSpread(
  current: RankLists,
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
    const isFlat = costBefore - spread.cost < costBefore * MIN_COST_RATIO;
    if (isFlat || gain < -limits.minGainPerCopy) {
      spread.apply(inverseOf(move));
      break;
    }
    copies += move.filter(change => change.add !== undefined).length;
  }
  const skewAfter = spread.skew;
  const isWorth = skewBefore - skewAfter >= limits.minGainPerCopy * copies;
  return isWorth && copies > 0
    ? {lists: spread.toLists(), copies, skewBefore, skewAfter}
    : {lists: current, copies: 0, skewBefore, skewAfter: skewBefore};
}

/** A move that lowers the cost by less changes nothing that counts. */
const MIN_COST_RATIO = 0.004;

/** On one rank: an expert that comes, one that goes, or both. */
interface Change {
  readonly rank: number;
  readonly add?: number;
  readonly drop?: number;
}

type Move = readonly Change[];

/**
 * A spread while it is being changed; loads are in mean loads. A plan for a
 * large group weighs a hundred thousand moves on the loop that also serves
 * callers: the cost of a move is worked out from the few loads that it changes,
 * without making it.
 */
class Spread {
  readonly loads: number[];
  private costSum = 0;
  private readonly held: number[][];
  private readonly holders: number[][];
  /** Experts that the rank held at the beginning. */
  private readonly original: readonly ReadonlySet<number>[];
  /** Experts that a rank took in since. */
  private readonly fresh: number[];
  private readonly parts: readonly number[];
  /** Change of each load by the move that is being weighed. */
  private readonly shift: number[];
  private touched: number[] = [];

  constructor(
    lists: RankLists,
    popularity: readonly number[],
    private readonly slowness: RankSlowness
  ) {
    const total = popularity.reduce((sum, part) => sum + part, 0) || 1;
    this.parts = popularity.map(part => (part * lists.length) / total);
    this.original = lists.map(list => new Set(list));
    this.held = lists.map(list => [...list]);
    this.holders = popularity.map(() => []);
    this.fresh = lists.map(() => 0);
    this.loads = lists.map(() => 0);
    this.shift = lists.map(() => 0);
    lists.forEach((list, rank) =>
      list.forEach(expert => this.holders[expert]?.push(rank))
    );
    this.holders.forEach((ranks, expert) => {
      for (const rank of ranks) this.add(rank, this.shareOf(expert));
    });
  }

  get skew(): number {
    return Math.max(...this.loads);
  }

  /** Kept up to date with each change: a plan tries thousands of them. */
  get cost(): number {
    return this.costSum;
  }

  expertsOn(rank: number): readonly number[] {
    return this.held[rank] ?? [];
  }

  holdersOf(expert: number): readonly number[] {
    return this.holders[expert] ?? [];
  }

  /** Whether a rank could hold one more expert that is new to it. */
  mayTake(rank: number, expert: number, limits: SpreadLimits): boolean {
    if (this.holdersOf(expert).includes(rank)) return false;
    if (this.original[rank]?.has(expert)) return true;
    return (this.fresh[rank] ?? 0) < (limits.newOnRank[rank] ?? 0);
  }

  /** Sum of costs after a move, without making it. */
  costAfter(move: Move): number {
    for (const change of move) {
      if (change.add !== undefined) this.weigh(change.add, move);
      if (change.drop !== undefined && !adds(move, change.drop))
        this.weigh(change.drop, move);
    }
    let cost = this.costSum;
    for (const rank of this.touched) {
      const before = this.loads[rank] ?? 0;
      cost += costOf(before + (this.shift[rank] ?? 0)) - costOf(before);
      this.shift[rank] = 0;
    }
    this.touched = [];
    return cost;
  }

  apply(move: Move): void {
    for (const {rank, add, drop} of move) {
      if (add !== undefined) this.put(rank, add);
      if (drop !== undefined) this.take(rank, drop);
    }
  }

  toLists(): RankLists {
    return this.held.map(experts => [...experts].sort((a, b) => a - b));
  }

  /** Load that one holder of the expert has by it. */
  private shareOf(expert: number, holders = this.holdersOf(expert).length) {
    return (this.parts[expert] ?? 0) / Math.max(1, holders);
  }

  /** Adds up what the move changes by one expert. */
  private weigh(expert: number, move: Move): void {
    const holders = this.holdersOf(expert);
    let count = holders.length;
    for (const {add, drop} of move) {
      if (add === expert) count++;
      if (drop === expert) count--;
    }
    const before = this.shareOf(expert);
    const after = this.shareOf(expert, count);
    for (const rank of holders) this.weighOn(rank, after - before);
    for (const {rank, add, drop} of move) {
      if (add === expert) this.weighOn(rank, after);
      if (drop === expert) this.weighOn(rank, -after);
    }
  }

  private weighOn(rank: number, load: number): void {
    this.touched.push(rank);
    this.shift[rank] =
      (this.shift[rank] ?? 0) + load * (this.slowness[rank] ?? 1);
  }

  private put(rank: number, expert: number): void {
    this.reshare(expert, () => {
      this.held[rank]?.push(expert);
      this.holders[expert]?.push(rank);
    });
    if (!this.original[rank]?.has(expert)) this.countFresh(rank, 1);
  }

  private take(rank: number, expert: number): void {
    this.reshare(expert, () => {
      remove(this.held[rank] ?? [], expert);
      remove(this.holders[expert] ?? [], rank);
    });
    if (!this.original[rank]?.has(expert)) this.countFresh(rank, -1);
  }

  private countFresh(rank: number, by: number): void {
    this.fresh[rank] = (this.fresh[rank] ?? 0) + by;
  }

  private reshare(expert: number, change: () => void): void {
    const before = this.shareOf(expert);
    for (const rank of this.holdersOf(expert)) this.add(rank, -before);
    change();
    const after = this.shareOf(expert);
    for (const rank of this.holdersOf(expert)) this.add(rank, after);
  }

  private add(rank: number, load: number): void {
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

function adds(move: Move, expert: number): boolean {
  return move.some(({add}) => add === expert);
}

function inverseOf(move: Move): Move {
  return [...move]
    .reverse()
    .map(({rank, add, drop}) => ({rank, add: drop, drop: add}));
}

/** Steep, so that the highest loads decide. */
function costOf(load: number): number {
  const square = load * load;
  const fourth = square * square;
  return fourth * fourth;
}

function bestMove(spread: Spread, limits: SpreadLimits): Move | undefined {
  let best: Move | undefined;
  let least = spread.cost;
  const order = byLoad(spread);
  const cool = order.slice(-COOL_RANKS);
  for (const hot of order.slice(0, HOT_RANKS))
    for (const move of movesFrom(spread, hot, cool, limits)) {
      const cost = spread.costAfter(move);
      if (cost >= least) continue;
      least = cost;
      best = move;
    }
  return best;
}

/** Ranks from the hottest to the coolest. */
function byLoad(spread: Spread): readonly number[] {
  return spread.loads
    .map((load, rank) => ({load, rank}))
    .sort((a, b) => b.load - a.load)
    .map(({rank}) => rank);
}

/** Ways to take load from a hot rank: one more holder, a swap, a drop. */
function* movesFrom(
  spread: Spread,
  hot: number,
  cool: readonly number[],
  limits: SpreadLimits
): Generator<Move> {
  const hotLoad = spread.loads[hot] ?? 0;
  for (const expert of spread.expertsOn(hot)) {
    if (spread.holdersOf(expert).length > 1) yield [{rank: hot, drop: expert}];
    for (const rank of cool) {
      if (rank === hot || (spread.loads[rank] ?? 0) >= hotLoad) continue;
      if (!spread.mayTake(rank, expert, limits)) continue;
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
  const there = spread.expertsOn(rank);
  if (there.length < limits.places) yield [{rank, add: expert}];
  for (const other of there) {
    const isSpare = spread.holdersOf(other).length > 1;
    if (isSpare) yield [{rank, add: expert, drop: other}];
    else if (spread.mayTake(hot, other, limits))
      yield [
        {rank, add: expert, drop: other},
        {rank: hot, add: other, drop: expert},
      ];
  }
}
