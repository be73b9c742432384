/**
 * Cold-start ramp: the concurrency limit of a target from its first signal until
 * it is warm.
 *
 * Only time in which the target served requests under load counts towards the
 * ramp, because an idle target doesn't warm up. At any sign that the target is cold
 * the limit falls back to the start.
 */

/** Bounds that operators configure; a `warmup` rule has these fields. */
export interface WarmupLimits {
  /** Concurrency limit of a target that has just started. */
  readonly start: number;
  /** Concurrency limit of a warm target. */
  readonly full: number;
  /** Minimum time from `start` to `full` under load. */
  readonly overMs: number;
}

/** Progress of one target in its ramp. */
export interface RampState {
  /** Proven concurrency; undefined while the ramp is at the start. */
  readonly level: number | undefined;
  /** Time up to which load has been counted. */
  readonly creditedAtMs: number;
  /** When the ramp last started. */
  readonly sinceMs: number;
  /** Whether the ramp has reached `full` since it last started. */
  readonly hasReachedFull: boolean;
  /** Factor by which the ramp takes longer than the rule says. */
  readonly durationFactor: number;
}

/** One successful response of the target. */
export interface RampSample {
  readonly nowMs: number;
  /** When the target started the request. */
  readonly startedAtMs: number;
  /** Requests that were running when it ended, including this one. */
  readonly outstanding: number;
  /** Ratio of its latency to that of a lightly loaded target; 1 if unknown. */
  readonly slowdown: number;
}

/** Utilization of the limit below which it doesn't grow. */
const MIN_UTILIZATION = 0.25;
/**
 * Growth relative to the rule, which only sets the minimum time. A target that is
 * loaded below its capacity warms slightly slower than the rule, and at the end of
 * the quadratic curve the limit would exceed its capacity.
 */
const GROWTH_RATE = 0.85;
/** Ratio of latency to unloaded latency at which growth stops. */
const HOLD_SLOWDOWN = 2;
/** Ratio of latency to unloaded latency at which the limit shrinks. */
const SHRINK_SLOWDOWN = 2.4;
const MAX_DURATION_FACTOR = 4;
const SHRINK_FACTOR = 0.7;

/** State of a target that has just started or whose history is unknown. */
export function freshRamp(nowMs: number): RampState {
  return {
    level: undefined,
    creditedAtMs: nowMs,
    sinceMs: nowMs,
    hasReachedFull: false,
    durationFactor: 1,
  };
}

/** Returns the concurrency limit of the target, at least 1. */
export function rampLimit(
  state: RampState,
  rule: WarmupLimits,
  _nowMs: number
): number {
  return Math.max(1, Math.floor(currentLevel(state, rule)));
}

/** Whether the limit has reached `full`. */
export function isRampComplete(state: RampState, rule: WarmupLimits): boolean {
  return currentLevel(state, rule) >= rule.full;
}

/** Grows, holds or shrinks the limit after a successful response. */
export function rampAfterResponse(
  state: RampState,
  rule: WarmupLimits,
  sample: RampSample
): RampState {
  const level = currentLevel(state, rule);
  const creditedAtMs = Math.max(state.creditedAtMs, sample.nowMs);
  if (sample.slowdown >= SHRINK_SLOWDOWN) {
    // Shrinks relative to the running requests, not to the last limit: they end
    // slowly, and cutting the limit with each sample meanwhile would drop it to the
    // start.
    const reduced = sample.outstanding * SHRINK_FACTOR;
    const lowest = Math.min(rule.start, level);
    const shrunk = Math.min(level, Math.max(lowest, reduced));
    return {...state, level: shrunk, creditedAtMs};
  }
  const utilization = Math.min(
    1,
    sample.outstanding / Math.max(1, Math.floor(level))
  );
  if (utilization < MIN_UTILIZATION || sample.slowdown >= HOLD_SLOWDOWN)
    return {...state, level, creditedAtMs};
  const from = Math.max(state.creditedAtMs, sample.startedAtMs);
  const creditMs = Math.max(0, sample.nowMs - from);
  const rate = GROWTH_RATE / state.durationFactor;
  const progressGain =
    (utilization * creditMs * rate) / Math.max(1, rule.overMs);
  const grown = grow(level, rule, progressGain);
  const complete = state.hasReachedFull || grown >= rule.full;
  return {...state, level: grown, creditedAtMs, hasReachedFull: complete};
}

/**
 * Call before a changed rule is applied, with the old rule. A target without a
 * response yet has no proven level: with a raised `start` its limit would jump at
 * once, while it still runs the requests that it got when cold. Time under the old
 * rule doesn't count under the new one, which may be steeper.
 */
export function rampRuleChanged(
  state: RampState,
  before: WarmupLimits,
  nowMs: number
): RampState {
  const level = currentLevel(state, before);
  const creditedAtMs = Math.max(state.creditedAtMs, nowMs);
  return {...state, level, creditedAtMs};
}

/**
 * Restarts the ramp after a lost connection, a new boot, silence or a cold report.
 * A target that became cold during its ramp may have been overloaded, and with the
 * same ramp it would fail again and again, so its next ramp is slower.
 */
export function restartRamp(state: RampState, nowMs: number): RampState {
  return {
    level: undefined,
    creditedAtMs: Math.max(nowMs, state.creditedAtMs),
    sinceMs: nowMs,
    hasReachedFull: false,
    durationFactor: nextDurationFactor(state),
  };
}

function nextDurationFactor({
  level,
  hasReachedFull: complete,
  durationFactor,
}: RampState): number {
  if (complete) return 1;
  return level === undefined
    ? durationFactor
    : Math.min(MAX_DURATION_FACTOR, durationFactor * 2);
}

/**
 * Returns the level after further progress, a ratio of the rule's time. The curve
 * is quadratic: it reaches `full` when a straight line would, but stays below that
 * line, because the capacity of a fresh target grows slowly at first (caches,
 * compilation) and one request too many makes it fail.
 */
function grow(level: number, rule: WarmupLimits, progressGain: number): number {
  const span = rule.full - rule.start;
  if (span <= 0) return rule.full;
  if (level < rule.start)
    return Math.min(rule.start, level + span * progressGain);
  const progress = Math.sqrt((level - rule.start) / span) + progressGain;
  return Math.min(rule.full, rule.start + span * progress * progress);
}

/**
 * The level is stored in requests, not as progress: otherwise a rule that raises
 * `start` or `full` during the ramp would lift the limit at once, beyond the proven
 * level. A lower `full` applies at once.
 */
function currentLevel(state: RampState, rule: WarmupLimits): number {
  return Math.min(rule.full, state.level ?? rule.start);
}
