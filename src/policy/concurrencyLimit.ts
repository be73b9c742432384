/**
 * Adapts how many requests a warm target runs at once to its latency:
 * additive increase while the latency holds, multiplicative decrease when it
 * rises over the unloaded one.
 */

/** Bounds that the rules give. */
export interface ConcurrencyBounds {
  readonly start: number;
  readonly full: number;
}

/** State of one target's limit. */
export interface ConcurrencyState {
  readonly limit: number;
  /** Latency per unit of cost of a lightly loaded target, in milliseconds. */
  readonly baselineMs: number | undefined;
  /** Smoothed latency per unit of cost now, in milliseconds. */
  readonly recentMs: number | undefined;
  /** Answers since the limit last changed. */
  readonly samples: number;
}

/** One answered request. */
export interface LatencySample {
  /** Milliseconds per unit of cost, for instance between two tokens. */
  readonly latencyMs: number;
  /** Requests that ran meanwhile. */
  readonly outstanding: number;
}

/** Latency over the baseline that a batch at its full size may show. */
const TOLERANCE = 2;
const DECREASE = 0.9;
const RECENT_SMOOTHING = 0.2;
/**
 * The baseline follows a target that got slower for good within some ten
 * thousand samples. Faster, it would follow a target under strain, and the
 * strain would no longer show.
 */
const BASELINE_RISE = 0.0001;
const MIN_USE = 0.8;

/** Starts a limit at its upper bound; the cold-start ramp guards the rest. */
export function freshConcurrency(bounds: ConcurrencyBounds): ConcurrencyState {
  return {
    limit: bounds.full,
    baselineMs: undefined,
    recentMs: undefined,
    samples: 0,
  };
}

/** Requests at once that the target may run, within the bounds. */
export function concurrencyLimit(
  state: ConcurrencyState,
  bounds: ConcurrencyBounds
): number {
  return Math.max(bounds.start, Math.min(bounds.full, Math.floor(state.limit)));
}

/** Latency now over that of the unloaded target; 1 when unknown. */
export function latencyRise(state: ConcurrencyState): number {
  if (state.recentMs === undefined || state.baselineMs === undefined) return 1;
  return state.recentMs / state.baselineMs;
}

/** Takes in one answer; the limit changes once for each limit of answers. */
export function observeLatency(
  state: ConcurrencyState,
  bounds: ConcurrencyBounds,
  sample: LatencySample
): ConcurrencyState {
  const next = learnLatency(state, sample.latencyMs);
  const limit = concurrencyLimit(state, bounds);
  if (next.samples < limit) return {...next, limit: state.limit};
  if (latencyRise(next) > TOLERANCE) {
    const lower = Math.max(bounds.start, limit * DECREASE);
    return {...next, limit: lower, samples: 0};
  }
  const inUse = sample.outstanding >= limit * MIN_USE;
  const higher = inUse ? Math.min(bounds.full, limit + 1) : limit;
  return {...next, limit: higher, samples: 0};
}

/**
 * Takes in a latency without moving the limit, for a target in its cold
 * start: the ramp alone answers to its strain, and a limit that shrank as well
 * would hold it back long after.
 */
export function learnLatency(
  state: ConcurrencyState,
  latencyMs: number
): ConcurrencyState {
  const recent = state.recentMs ?? latencyMs;
  const baseline = state.baselineMs ?? latencyMs;
  const risen = baseline + BASELINE_RISE * (latencyMs - baseline);
  return {
    limit: state.limit,
    recentMs: recent + RECENT_SMOOTHING * (latencyMs - recent),
    baselineMs: Math.min(latencyMs, risen),
    samples: state.samples + 1,
  };
}
