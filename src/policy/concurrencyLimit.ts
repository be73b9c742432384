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
  /** Answers in all. */
  readonly seen: number;
}

/** One answered request. */
export interface LatencySample {
  /** Milliseconds per unit of cost, for instance between two tokens. */
  readonly latencyMs: number;
  /** Requests that ran meanwhile. */
  readonly outstanding: number;
}

/**
 * Latency over the baseline at which the limit shrinks. A full batch takes
 * about twice the time of an empty one, and the averages still vary.
 */
const TOLERANCE = 2.5;
const DECREASE = 0.9;
/**
 * Weight of the newest sample. Whole answers differ from their estimated cost
 * by several times either way: a few of them say nothing, fifty do.
 */
const RECENT_WEIGHT = 0.02;
/**
 * The baseline follows the average, not single samples: the quickest answer
 * ever seen would make each usual one look slow, and shut the target. It falls
 * quickly and rises slowly, or strain would become the new baseline.
 */
const BASELINE_FALL = 0.02;
const BASELINE_RISE = 0.001;
/** The first answers are the short ones; until then the baseline follows all. */
const LEARNING_SAMPLES = 200;
const MIN_USE = 0.8;
/** Keeps logarithms finite. */
const MIN_LATENCY_MS = 1e-6;

/** Starts a limit at its upper bound; the cold-start ramp guards the rest. */
export function freshConcurrency(bounds: ConcurrencyBounds): ConcurrencyState {
  return {
    limit: bounds.full,
    baselineMs: undefined,
    recentMs: undefined,
    samples: 0,
    seen: 0,
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
  const next = average(state, sample.latencyMs, BASELINE_RISE);
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
  return average(state, latencyMs, 0);
}

function average(
  state: ConcurrencyState,
  latencyMs: number,
  rise: number
): ConcurrencyState {
  const seen = state.seen + 1;
  const weight = Math.max(RECENT_WEIGHT, 1 / seen);
  const recentMs = blend(state.recentMs, latencyMs, weight);
  const learning = seen < LEARNING_SAMPLES;
  const falls = recentMs < (state.baselineMs ?? Infinity);
  const pace = falls ? BASELINE_FALL : rise;
  const baselineMs = blend(state.baselineMs, recentMs, learning ? 1 : pace);
  const samples = state.samples + 1;
  return {limit: state.limit, recentMs, baselineMs, samples, seen};
}

/** A geometric average, which one slow answer in a hundred doesn't move. */
function blend(
  mean: number | undefined,
  sample: number,
  weight: number
): number {
  const next = Math.max(MIN_LATENCY_MS, sample);
  if (mean === undefined) return next;
  return mean * Math.pow(next / mean, weight);
}
