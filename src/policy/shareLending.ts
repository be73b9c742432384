/**
 * Lends the places of a service to the nodes that send to it.
 *
 * The load it answers: callers reach nodes by a hash, so one node may have
 * three times the requests of another, and a group of ranks slows down with
 * every request that runs anywhere in it. With a fixed part each, the busiest
 * node turned callers away while others had places free; with no bound, all
 * streams were late.
 */

/** What one node wants. */
export interface ShareDemand {
  readonly node: string;
  /** Requests at targets and waiting now. */
  readonly wanted: number;
  /** Requests taken lately, for the places that nobody wants at the moment. */
  readonly arrivals: number;
}

/** Weight of a node without arrivals: it can take its first ones at once. */
const IDLE_WEIGHT = 0.5;
/** A node with no place could not even learn whether targets answer. */
const LEAST_PLACES = 1;

/** Places by node; they add up to `places`, or to one a node if that is more. */
export function lendShares(
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

/** Whole places that nobody wants. */
export function freePlaces(
  places: number,
  demands: readonly ShareDemand[]
): number {
  return Math.max(0, Math.floor(places - wantedOf(demands)));
}

function wantedOf(demands: readonly ShareDemand[]): number {
  return demands.reduce((sum, {wanted}) => sum + wanted, 0);
}

/** Everyone gets the same at most; what some do not want goes to the others. */
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

/** All wishes, and the rest by arrivals, where the next requests will come. */
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
  const whole = granted.map(part => Math.max(LEAST_PLACES, Math.floor(part)));
  let left = Math.floor(places) - whole.reduce((sum, part) => sum + part, 0);
  const byFraction = granted
    .map((part, index) => ({fraction: part - Math.floor(part), index}))
    .sort((a, b) => b.fraction - a.fraction);
  for (const {index} of byFraction) {
    if (left <= 0) break;
    whole[index] = (whole[index] ?? 0) + 1;
    left--;
  }
  return new Map(demands.map(({node}, i) => [node, whole[i] ?? LEAST_PLACES]));
}
