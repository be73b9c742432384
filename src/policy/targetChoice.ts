/**
 * Which target gets a request. A node uses the slots that it has permits for;
 * without any left it takes the target where it has the least in work.
 */

/** A target as the choice sees it. */
export interface TargetOption {
  readonly id: string;
  readonly slots: number;
  /** Requests of this node there now. */
  readonly own: number;
  /** Requests that this node may have there. */
  readonly permits: number;
  readonly isNear: boolean;
  /** Part of its requests that it failed lately, 0 to 1. */
  readonly failureRate: number;
  /** Smoothed time to an answer; 0 unknown. */
  readonly latencyMs: number;
}

/**
 * Worth of staying in the zone, in parts of a target's slots: a way between
 * zones costs milliseconds and bytes, a place in a queue a whole stay.
 */
const FAR_PENALTY = 0.2;
/** A target that fails all it gets counts as this many times full. */
const FAILURE_PENALTY = 3;
/** A target that is so many times slower than the median counts as loaded. */
const SLOW_RATIO = 1.6;
/** Targets without a permit left come last, whatever speaks for them. */
const NO_PERMIT_PENALTY = 4;

/** The best option; `random` breaks ties, from 0 to below 1. */
export function chooseTarget(
  options: readonly TargetOption[],
  random: () => number
): TargetOption | undefined {
  const usualMs = medianLatency(options);
  let best: TargetOption | undefined;
  let least = Infinity;
  for (const option of options) {
    const cost = costOf(option, usualMs) + random() * TIE;
    if (cost >= least) continue;
    least = cost;
    best = option;
  }
  return best;
}

/** Smaller than the cost of one request at a target of a hundred slots. */
const TIE = 0.005;

function costOf(option: TargetOption, usualMs: number): number {
  const {slots, own, permits, isNear, failureRate, latencyMs} = option;
  const use = (own + 1) / Math.max(1, slots);
  let cost = use;
  if (own >= permits) cost += NO_PERMIT_PENALTY * use;
  if (!isNear) cost += FAR_PENALTY;
  cost += FAILURE_PENALTY * failureRate ** 2;
  if (usualMs > 0 && latencyMs > SLOW_RATIO * usualMs)
    cost *= latencyMs / usualMs;
  return cost;
}

function medianLatency(options: readonly TargetOption[]): number {
  const known = options
    .map(({latencyMs}) => latencyMs)
    .filter(latencyMs => latencyMs > 0)
    .sort((a, b) => a - b);
  return known[Math.floor(known.length / 2)] ?? 0;
}
