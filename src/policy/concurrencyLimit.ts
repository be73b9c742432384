/**
 * Adapts the concurrency limit of a warm target to its latency: additive increase
 * while the latency stays near that of the lightly loaded target, multiplicative
 * decrease when it rises.
 */

/** Bounds of the limit, from the rules. */
export interface ConcurrencyBounds {
  readonly start: number;
  readonly full: number;
}

/** State of the adaptive limit of one target. */
export interface ConcurrencyState {
  readonly limit: number;
  /** Latency per unit of cost when lightly loaded, in milliseconds. */
  readonly baselineMs: number | undefined;
  /** Moving average of the latency per unit of cost, in milliseconds. */
  readonly recentMs: number | undefined;
  /** Responses since the limit was last adjusted. */
  readonly samplesSinceChange: number;
  /** Responses in total. */
  readonly totalSamples: number;
}

/** Latency of one response. */
export interface LatencySample {
  /** Milliseconds per unit of cost, for instance between two tokens. */
  readonly latencyMs: number;
  /** Requests that were running at the same time. */
  readonly outstanding: number;
}

/**
 * Ratio of latency to baseline above which the limit shrinks. A full batch takes
 * about twice the time of an empty one, and the averages vary on top of that.
 */
const MAX_LATENCY_RATIO = 2.5;
const DECREASE_FACTOR = 0.9;
/**
 * Weight of the newest sample. The real cost of a response may be several times
 * its estimate or a fraction of it, so an average needs about fifty samples.
 */
const RECENT_WEIGHT = 0.02;
/**
 * Weights with which the baseline follows the average latency. It doesn't follow
 * single samples: measured against the fastest response so far, every normal one
 * would look slow and the limit would fall to its minimum. It falls quickly and
 * rises slowly; otherwise overload would become the new baseline.
 */
const BASELINE_FALL_WEIGHT = 0.02;
const BASELINE_RISE_WEIGHT = 0.001;
/**
 * The first responses to arrive are the short ones, so the baseline equals the
 * average until there are this many samples.
 */
const LEARNING_SAMPLES = 200;
/** Utilization of the limit below which it doesn't grow. */
const MIN_UTILIZATION = 0.8;
/** Keeps logarithms finite. */
const MIN_LATENCY_MS = 1e-6;

/** Starts at the upper bound; the ramp limits a target that is still cold. */
export function freshConcurrency(bounds: ConcurrencyBounds): ConcurrencyState {
  return {
    limit: bounds.full,
    baselineMs: undefined,
    recentMs: undefined,
    samplesSinceChange: 0,
    totalSamples: 0,
  };
}

/** Returns the concurrency limit, within the bounds. */
export function concurrencyLimit(
  state: ConcurrencyState,
  bounds: ConcurrencyBounds
): number {
  return Math.max(bounds.start, Math.min(bounds.full, Math.floor(state.limit)));
}

/** Ratio of the recent latency to the baseline; 1 when unknown. */
export function latencyRatio(state: ConcurrencyState): number {
  if (state.recentMs === undefined || state.baselineMs === undefined) return 1;
  return state.recentMs / state.baselineMs;
}

/** Records a response; adjusts the limit once every `limit` responses. */
export function adjustConcurrency(
  state: ConcurrencyState,
  bounds: ConcurrencyBounds,
  sample: LatencySample
): ConcurrencyState {
  const next = updateAverages(state, sample.latencyMs, BASELINE_RISE_WEIGHT);
  const limit = concurrencyLimit(state, bounds);
  if (next.samplesSinceChange < limit) return {...next, limit: state.limit};
  if (latencyRatio(next) > MAX_LATENCY_RATIO) {
    const lower = Math.max(bounds.start, limit * DECREASE_FACTOR);
    return {...next, limit: lower, samplesSinceChange: 0};
  }
  const isUtilized = sample.outstanding >= limit * MIN_UTILIZATION;
  const higher = isUtilized ? Math.min(bounds.full, limit + 1) : limit;
  return {...next, limit: higher, samplesSinceChange: 0};
}

/**
 * Records a latency without adjusting the limit, for a target in its cold start.
 * There the ramp alone reacts to high latency; if this limit shrank as well, it
 * would hold the target back long after the ramp has ended.
 */
export function recordLatency(
  state: ConcurrencyState,
  latencyMs: number
): ConcurrencyState {
  return updateAverages(state, latencyMs, 0);
}

function updateAverages(
  state: ConcurrencyState,
  latencyMs: number,
  riseWeight: number
): ConcurrencyState {
  const seen = state.totalSamples + 1;
  const weight = Math.max(RECENT_WEIGHT, 1 / seen);
  const recentMs = geometricMean(state.recentMs, latencyMs, weight);
  const learning = seen < LEARNING_SAMPLES;
  const falls = recentMs < (state.baselineMs ?? Infinity);
  const baselineWeight = falls ? BASELINE_FALL_WEIGHT : riseWeight;
  const baselineMs = geometricMean(
    state.baselineMs,
    recentMs,
    learning ? 1 : baselineWeight
  );
  const samples = state.samplesSinceChange + 1;
  return {
    limit: state.limit,
    recentMs,
    baselineMs,
    samplesSinceChange: samples,
    totalSamples: seen,
  };
}

/** Moving geometric mean: one slow response in a hundred hardly changes it. */
function geometricMean(
  mean: number | undefined,
  sample: number,
  weight: number
): number {
  const next = Math.max(MIN_LATENCY_MS, sample);
  if (mean === undefined) return next;
  return mean * Math.pow(next / mean, weight);
}
