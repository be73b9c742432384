/**
 * Divides the concurrency limit of a service among the nodes that send to it.
 *
 * Callers are hashed to nodes, so one node may receive several times the requests of
 * another. With equal parts, the busiest node would refuse callers while others
 * have free slots.
 */

import {compareUrgency, parseUrgency, type UrgencyKey} from './urgency';

/** Demand of one node. */
export interface NodeDemand {
  readonly node: string;
  /** Requests in flight at targets or queued at the node. */
  readonly wanted: number;
  /** Recent arrivals; slots that no node wants now are divided by them. */
  readonly arrivals: number;
}

/** Demand of one node for a prioritized service. */
export interface UrgentNodeDemand extends NodeDemand {
  /** Requests in flight, which `wanted` includes. */
  readonly inFlight: number;
  /** Queued requests by urgency text; the rest of `wanted` is the least urgent. */
  readonly waiting: Readonly<Record<UrgencyKey, number>>;
}

/** Added to the arrivals, so that an idle node also gets surplus slots. */
const IDLE_WEIGHT = 0.5;
/** A node without a slot could not find out whether targets respond. */
const MIN_SLOTS_PER_NODE = 1;

/** Slots by node; their sum is `concurrency`, or one per node if that is more. */
export function allocateConcurrency(
  concurrency: number,
  demands: readonly NodeDemand[]
): ReadonlyMap<string, number> {
  const wanted = totalWanted(demands);
  const granted =
    wanted > concurrency
      ? splitMaxMin(
          concurrency,
          demands.map(demand => demand.wanted)
        )
      : splitWithSurplus(concurrency - wanted, demands);
  return roundGrants(concurrency, demands, granted);
}

/**
 * As `allocateConcurrency`, by urgency: first requests in flight, then waiting
 * requests in the order of urgency, max-min fair among nodes at each step.
 */
export function allocateByUrgency(
  concurrency: number,
  demands: readonly UrgentNodeDemand[]
): ReadonlyMap<string, number> {
  if (totalWanted(demands) <= concurrency)
    return allocateConcurrency(concurrency, demands);
  const granted = demands.map(() => 0);
  let left = concurrency;
  for (const step of stepsByUrgency(demands)) {
    const parts = splitMaxMin(left, step);
    parts.forEach((part, i) => {
      granted[i] = (granted[i] ?? 0) + part;
      left -= part;
    });
    if (left <= 0) break;
  }
  return roundGrants(concurrency, demands, granted);
}

/** What each node wants at each step; the steps add up to all that is wanted. */
function stepsByUrgency(
  demands: readonly UrgentNodeDemand[]
): readonly (readonly number[])[] {
  const keys = new Set(demands.flatMap(({waiting}) => Object.keys(waiting)));
  const ordered = [...keys]
    .flatMap(key => {
      const urgency = parseUrgency(key);
      return urgency === undefined ? [] : [{key, urgency}];
    })
    .sort((a, b) => compareUrgency(a.urgency, b.urgency));
  const steps = [
    demands.map(({inFlight}) => inFlight),
    ...ordered.map(({key}) => demands.map(({waiting}) => waiting[key] ?? 0)),
  ];
  const rest = demands.map(({wanted}, i) =>
    Math.max(0, wanted - steps.reduce((sum, step) => sum + (step[i] ?? 0), 0))
  );
  return [...steps, rest];
}

/** Slots beyond the demand of all nodes, rounded down. */
export function unusedConcurrency(
  concurrency: number,
  demands: readonly NodeDemand[]
): number {
  return Math.max(0, Math.floor(concurrency - totalWanted(demands)));
}

function totalWanted(demands: readonly NodeDemand[]): number {
  return demands.reduce((sum, {wanted}) => sum + wanted, 0);
}

/** Max-min fair split: what some nodes do not want goes to the others. */
function splitMaxMin(
  concurrency: number,
  wantedByNode: readonly number[]
): readonly number[] {
  const order = wantedByNode
    .map((wanted, index) => ({wanted, index}))
    .sort((a, b) => a.wanted - b.wanted);
  const granted = wantedByNode.map(() => 0);
  let left = concurrency;
  order.forEach(({wanted, index}, position) => {
    const part = Math.min(wanted, left / (order.length - position));
    granted[index] = part;
    left -= part;
  });
  return granted;
}

/** Meets all demand and splits the surplus by arrivals, for the next requests. */
function splitWithSurplus(
  surplus: number,
  demands: readonly NodeDemand[]
): readonly number[] {
  const weights = demands.map(({arrivals}) => arrivals + IDLE_WEIGHT);
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  return demands.map(
    ({wanted}, index) => wanted + (surplus * (weights[index] ?? 0)) / total
  );
}

/** Rounds to whole slots; the largest fractions are rounded up. */
function roundGrants(
  concurrency: number,
  demands: readonly NodeDemand[],
  granted: readonly number[]
): ReadonlyMap<string, number> {
  const rounded = granted.map(part =>
    Math.max(MIN_SLOTS_PER_NODE, Math.floor(part))
  );
  let left =
    Math.floor(concurrency) - rounded.reduce((sum, part) => sum + part, 0);
  const byFraction = granted
    .map((part, index) => ({fraction: part - Math.floor(part), index}))
    .sort((a, b) => b.fraction - a.fraction);
  for (const {index} of byFraction) {
    if (left <= 0) break;
    rounded[index] = (rounded[index] ?? 0) + 1;
    left--;
  }
  return new Map(
    demands.map(({node}, i) => [node, rounded[i] ?? MIN_SLOTS_PER_NODE])
  );
}
