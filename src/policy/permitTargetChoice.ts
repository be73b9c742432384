/**
 * Chooses the target of a request by the permits of this node. Targets with an
 * unused permit come first; without any, the target where this node has the fewest
 * requests for its slots.
 */

/** State of one target that the choice depends on. */
export interface TargetOption {
  readonly id: string;
  readonly slots: number;
  /** Requests of this node in flight at the target. */
  readonly inFlight: number;
  /** Requests that this node may have in flight at the target. */
  readonly permits: number;
  /** Whether the target is in the zone of this node. */
  readonly isInOwnZone: boolean;
  /** Ratio of recent requests that failed, 0 to 1. */
  readonly failureRate: number;
  /** Moving average of the response time; 0 when unknown. */
  readonly latencyMs: number;
  /** Whether the node holds a token for the target, which expires unused. */
  readonly hasToken: boolean;
}

/**
 * Cost of a target in another zone, as a ratio of its slots. Traffic between zones
 * costs milliseconds and bytes; a wait in a queue costs the whole duration of
 * another request.
 */
const REMOTE_ZONE_PENALTY = 0.2;
/** Cost of a target that fails every request; a full target costs 1. */
const FAILURE_PENALTY = 3;
/** Ratio to the median latency above which a target costs more. */
const SLOW_LATENCY_RATIO = 1.6;
/** Puts targets with a token before others that are free. */
const TOKEN_BONUS = 1;
/** Cost factor that puts targets without an unused permit last. */
const NO_PERMIT_PENALTY = 4;

/** Returns the cheapest option; `random` (0 up to below 1) breaks ties. */
export function chooseTargetByPermits(
  options: readonly TargetOption[],
  random: () => number
): TargetOption | undefined {
  const medianMs = medianLatency(options);
  let best: TargetOption | undefined;
  let least = Infinity;
  for (const option of options) {
    const cost = costOf(option, medianMs) + random() * TIE_BREAK_RANGE;
    if (cost >= least) continue;
    least = cost;
    best = option;
  }
  return best;
}

/** Less than the cost of one request at a target with a hundred slots. */
const TIE_BREAK_RANGE = 0.005;

function costOf(option: TargetOption, medianMs: number): number {
  const {slots, inFlight, permits, isInOwnZone, failureRate, latencyMs} =
    option;
  const {hasToken} = option;
  const utilization = (inFlight + 1) / Math.max(1, slots);
  let cost = utilization;
  if (hasToken) cost -= TOKEN_BONUS;
  else if (inFlight >= permits) cost += NO_PERMIT_PENALTY * utilization;
  if (!isInOwnZone) cost += REMOTE_ZONE_PENALTY;
  cost += FAILURE_PENALTY * failureRate ** 2;
  if (medianMs > 0 && latencyMs > SLOW_LATENCY_RATIO * medianMs)
    cost *= latencyMs / medianMs;
  return cost;
}

function medianLatency(options: readonly TargetOption[]): number {
  const known = options
    .map(({latencyMs}) => latencyMs)
    .filter(latencyMs => latencyMs > 0)
    .sort((a, b) => a - b);
  return known[Math.floor(known.length / 2)] ?? 0;
}
