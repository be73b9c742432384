/**
 * How much a fresh target may run at once, from its first signal on.
 *
 * The limit grows only over time in which the target has answered under load,
 * so an idle target is no warmer for having waited, and it falls to the start
 * at any sign of cold.
 */

/** What the operators allow; a `warmup` rule has these fields. */
export interface WarmupLimits {
  /** Requests at once on a target that has just started. */
  readonly start: number;
  /** Requests at once on a warm target. */
  readonly full: number;
  /** Least time from start to full, under load. */
  readonly overMs: number;
}

/** Where a target stands in its ramp. */
export interface RampState {
  /** Requests at once that it has shown to bear; undefined: at the start. */
  readonly level: number | undefined;
  /** Until when time under load has been credited. */
  readonly creditedAtMs: number;
  /** Since when it has been taken for cold or strained. */
  readonly sinceMs: number;
  /** Whether it has come to full since then. */
  readonly complete: boolean;
  /** How many times slower than the rule the ramp goes. */
  readonly caution: number;
}

/** One request that the target answered well. */
export interface RampSample {
  readonly nowMs: number;
  /** When the target began the request. */
  readonly startedAtMs: number;
  /** Requests that ran at the end, this one included. */
  readonly outstanding: number;
  /** Its latency over that of a lightly loaded target; 1 when unknown. */
  readonly slowdown: number;
}

/** Part of the limit that must be in use for the limit to grow at all. */
const MIN_USE = 0.25;
/**
 * The rule gives the least time. A target that is loaded below what it bears
 * warms a little slower, and the end of the square would overtake it.
 */
const PACE = 0.85;
/** Latency over the unloaded one at which growth stops. */
const HOLD_SLOWDOWN = 2;
/** Latency over the unloaded one at which the limit shrinks. */
const SHRINK_SLOWDOWN = 2.4;
const MAX_CAUTION = 4;
const SHRINK_FACTOR = 0.7;

/** A target that has just started, or whose past isn't known. */
export function freshRamp(nowMs: number): RampState {
  return {
    level: undefined,
    creditedAtMs: nowMs,
    sinceMs: nowMs,
    complete: false,
    caution: 1,
  };
}

/** Requests that the target may run at once, at least 1. */
export function rampLimit(
  state: RampState,
  rule: WarmupLimits,
  _nowMs: number
): number {
  return Math.max(1, Math.floor(currentLevel(state, rule)));
}

/** Whether the target bears all that the rule allows. */
export function rampComplete(state: RampState, rule: WarmupLimits): boolean {
  return currentLevel(state, rule) >= rule.full;
}

/** Grows, holds or shrinks the limit after a good answer. */
export function rampServed(
  state: RampState,
  rule: WarmupLimits,
  sample: RampSample
): RampState {
  const level = currentLevel(state, rule);
  const creditedAtMs = Math.max(state.creditedAtMs, sample.nowMs);
  if (sample.slowdown >= SHRINK_SLOWDOWN) {
    // From what runs, not from the last limit: what runs ends slowly, and a
    // limit cut anew with each sample meanwhile would fall to the start.
    const eased = sample.outstanding * SHRINK_FACTOR;
    const lowest = Math.min(rule.start, level);
    const shrunk = Math.min(level, Math.max(lowest, eased));
    return {...state, level: shrunk, creditedAtMs};
  }
  const use = Math.min(1, sample.outstanding / Math.max(1, Math.floor(level)));
  if (use < MIN_USE || sample.slowdown >= HOLD_SLOWDOWN)
    return {...state, level, creditedAtMs};
  const from = Math.max(state.creditedAtMs, sample.startedAtMs);
  const creditMs = Math.max(0, sample.nowMs - from);
  const pace = PACE / state.caution;
  const part = (use * creditMs * pace) / Math.max(1, rule.overMs);
  const grown = grow(level, rule, part);
  const complete = state.complete || grown >= rule.full;
  return {...state, level: grown, creditedAtMs, complete};
}

/**
 * Call before a changed rule comes into force, with the rule until then. A
 * target that has not answered yet holds no level of its own: under a raised
 * start its limit would jump at once, while it works on what it got cold. Time
 * under the former rule earns nothing under the new and perhaps steeper one.
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
 * Back to the start: lost connection, new boot, silence, or a cold report.
 * One that turned cold on its way up may have been given too much: at the same
 * pace it would fall over again and again, so the next ramp is slower.
 */
export function rampCold(state: RampState, nowMs: number): RampState {
  return {
    level: undefined,
    creditedAtMs: Math.max(nowMs, state.creditedAtMs),
    sinceMs: nowMs,
    complete: false,
    caution: nextCaution(state),
  };
}

function nextCaution({level, complete, caution}: RampState): number {
  if (complete) return 1;
  return level === undefined ? caution : Math.min(MAX_CAUTION, caution * 2);
}

/**
 * The next level after a part of the rule's time under load. The curve is a
 * square: as soon at full as a straight line, but below it all the way, since
 * what a fresh target bears grows slowly at first (caches, compilation) and
 * one request too many makes it fall over.
 */
function grow(level: number, rule: WarmupLimits, part: number): number {
  const span = rule.full - rule.start;
  if (span <= 0) return rule.full;
  if (level < rule.start) return Math.min(rule.start, level + span * part);
  const progress = Math.sqrt((level - rule.start) / span) + part;
  return Math.min(rule.full, rule.start + span * progress * progress);
}

/**
 * The level is kept in requests, not as progress: a rule that raises start or
 * full mid-ramp would otherwise lift the limit at once, past what the target
 * has shown to bear. A lower full applies at once.
 */
function currentLevel(state: RampState, rule: WarmupLimits): number {
  return Math.min(rule.full, state.level ?? rule.start);
}
