/** What the time between tokens tells of a target's strain. */

import {
  ConcurrencyState,
  concurrencyLimit,
  freshConcurrency,
  latencyRise,
  learnLatency,
  observeLatency,
} from '../policy/concurrencyLimit';
import type {RampSample, WarmupLimits} from '../policy/ramp';

/** Steps between two samples of the ramp. */
const RAMP_SAMPLE_STEPS = 5;
/** All streams get a token in one step; one of them stands for the step. */
const SAME_STEP_PART = 0.8;

/** Two tokens of one stream; times are `performance.now()` milliseconds. */
export interface TokenGap {
  readonly nowMs: number;
  /** When the token before came. */
  readonly startedAtMs: number;
  readonly outstanding: number;
}

/** Follows the steps of one engine by the tokens of its streams. */
export class TokenPace {
  private state: ConcurrencyState | undefined;
  private prefilling = 0;
  private prefilledAtMs = -Infinity;
  private sampledAtMs = -Infinity;
  private steps = 0;

  prefillBegan(): void {
    this.prefilling++;
  }

  prefillEnded(nowMs: number): void {
    this.prefilling--;
    this.prefilledAtMs = nowMs;
  }

  /** A sample for the ramp, now and then. */
  take(
    {nowMs, startedAtMs, outstanding}: TokenGap,
    rule: WarmupLimits,
    warm: boolean
  ): RampSample | undefined {
    const gapMs = nowMs - startedAtMs;
    if (nowMs - this.sampledAtMs < gapMs * SAME_STEP_PART) return undefined;
    this.sampledAtMs = nowMs;
    // A step that also takes in prompts is longer without any strain.
    const prefilled = this.prefilling > 0 || this.prefilledAtMs > startedAtMs;
    if (!prefilled) this.learn(gapMs, outstanding, rule, warm);
    if (++this.steps % RAMP_SAMPLE_STEPS !== 0) return undefined;
    const spanMs = gapMs * RAMP_SAMPLE_STEPS;
    const slowdown = this.state === undefined ? 1 : latencyRise(this.state);
    return {nowMs, startedAtMs: nowMs - spanMs, outstanding, slowdown};
  }

  /** Requests at once; the whole of the rule while nothing is known. */
  limit(rule: WarmupLimits): number {
    if (this.state === undefined) return rule.full;
    return concurrencyLimit(this.state, rule);
  }

  /** Step time now over the usual one, at least 1; 1 while nothing is known. */
  slowdown(): number {
    return this.state === undefined ? 1 : Math.max(1, latencyRise(this.state));
  }

  private learn(
    latencyMs: number,
    outstanding: number,
    rule: WarmupLimits,
    warm: boolean
  ): void {
    const state = this.state ?? freshConcurrency(rule);
    this.state = warm
      ? observeLatency(state, rule, {latencyMs, outstanding})
      : learnLatency(state, latencyMs);
  }
}
