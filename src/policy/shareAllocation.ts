/**
 * Allocates the concurrency limit of a service to the nodes that send to it.
 *
 * Pattern: callers reach nodes by a hash, so that one node may have three times
 * the requests of another. Equal parts reject callers at the busiest node while
 * others have room.
 */

/** Demand of one node. */
export interface ShareDemand {
  readonly node: string;
  /** Requests at targets and waiting now. */
  readonly wanted: number;
  /** Requests taken lately, by which what nobody demands now is allocated. */
  readonly arrivals: number;
}

/** Weight of a node without arrivals: it can take its first ones at once. */
const IDLE_WEIGHT = 0.5;
/** A node without any could not learn whether targets answer. */
const MIN_PLACES = 1;

/** Parts by node; they add up to `places`, or to one a node if that is more. */
export function allocateShares(
  places: number,
  demands: readonly ShareDemand[]
): ReadonlyMap<string, number> {
  const wanted = wantedOf(demands);
  const granted =
    wanted > places
      ? splitScarce(places, demands)
      : splitPlenty(places - wanted, demands);
  return roundShares(places, demands, granted);
}

/** What is beyond the demand of all nodes, a whole number. */
export function freePlaces(
  places: number,
  demands: readonly ShareDemand[]
): number {
  return Math.max(0, Math.floor(places - wantedOf(demands)));
}

function wantedOf(demands: readonly ShareDemand[]): number {
  return demands.reduce((sum, {wanted}) => sum + wanted, 0);
}

/** Max-min fair: what some nodes do not demand goes to the others. */
function splitScarce(
  places: number,
  demands: readonly ShareDemand[]
): readonly number[] {
  const order = demands
    .map(({wanted}, index) => ({wanted, index}))
    .sort((a, b) => a.wanted - b.wanted);
  const granted = demands.map(() => 0);
  let left = places;
  order.forEach(({wanted, index}, position) => {
    const part = Math.min(wanted, left / (order.length - position));
    granted[index] = part;
    left -= part;
  });
  return granted;
}

/** All demand, and the rest by arrivals, where the next requests will come. */
function splitPlenty(
  rest: number,
  demands: readonly ShareDemand[]
): readonly number[] {
  const weights = demands.map(({arrivals}) => arrivals + IDLE_WEIGHT);
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  return demands.map(
    ({wanted}, index) => wanted + (rest * (weights[index] ?? 0)) / total
  );
}

/** Whole places; the largest fractions are rounded up. */
function roundShares(
  places: number,
  demands: readonly ShareDemand[],
  granted: readonly number[]
): ReadonlyMap<string, number> {
  const whole = granted.map(part => Math.max(MIN_PLACES, Math.floor(part)));
  let left = Math.floor(places) - whole.reduce((sum, part) => sum + part, 0);
  const byFraction = granted
    .map((part, index) => ({fraction: part - Math.floor(part), index}))
    .sort((a, b) => b.fraction - a.fraction);
  for (const {index} of byFraction) {
    if (left <= 0) break;
    whole[index] = (whole[index] ?? 0) + 1;
    left--;
  }
  return new Map(demands.map(({node}, i) => [node, whole[i] ?? MIN_PLACES]));
}
