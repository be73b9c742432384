/** Detects an overloaded engine by the time between its tokens. */

import {
  ConcurrencyState,
  concurrencyLimit,
  freshConcurrency,
  latencyRatio,
  recordLatency,
  adjustConcurrency,
} from '../policy/concurrencyLimit';
import type {RampSample, WarmupLimits} from '../policy/ramp';

const PASSES_PER_RAMP_SAMPLE = 5;
/**
 * Every stream gets one token in each pass. A token that follows the last used
 * one by less than this part of its own gap belongs to the same pass.
 */
const MIN_PASS_GAP_RATIO = 0.8;

/**
 * Time between two tokens of one stream, in `performance.now()` milliseconds.
 */
export interface TokenGap {
  readonly nowMs: number;
  /** Arrival of the previous token. */
  readonly startedAtMs: number;
  readonly outstanding: number;
}

/** Measures the pass duration of one engine by the tokens of its streams. */
export class TokenLatencyMonitor {
  private state: ConcurrencyState | undefined;
  private activePrefills = 0;
  private lastPrefillEndedAtMs = -Infinity;
  private lastPassAtMs = -Infinity;
  private passes = 0;

  prefillStarted(): void {
    this.activePrefills++;
  }

  prefillEnded(nowMs: number): void {
    this.activePrefills--;
    this.lastPrefillEndedAtMs = nowMs;
  }

  /** Records a gap; returns a sample for the ramp every few passes. */
  recordGap(
    {nowMs, startedAtMs, outstanding}: TokenGap,
    rule: WarmupLimits,
    isWarm: boolean
  ): RampSample | undefined {
    const gapMs = nowMs - startedAtMs;
    if (nowMs - this.lastPassAtMs < gapMs * MIN_PASS_GAP_RATIO)
      return undefined;
    this.lastPassAtMs = nowMs;
    // A pass that also processes prompts takes longer without any overload.
    const overlapsPrefill =
      this.activePrefills > 0 || this.lastPrefillEndedAtMs > startedAtMs;
    if (!overlapsPrefill)
      this.updateConcurrency(gapMs, outstanding, rule, isWarm);
    if (++this.passes % PASSES_PER_RAMP_SAMPLE !== 0) return undefined;
    const spanMs = gapMs * PASSES_PER_RAMP_SAMPLE;
    const slowdown = this.state === undefined ? 1 : latencyRatio(this.state);
    return {nowMs, startedAtMs: nowMs - spanMs, outstanding, slowdown};
  }

  /** Concurrency limit; the rule's maximum before the first measurement. */
  limit(rule: WarmupLimits): number {
    if (this.state === undefined) return rule.full;
    return concurrencyLimit(this.state, rule);
  }

  /**
   * Current over usual pass duration, at least 1; 1 before the first
   * measurement.
   */
  slowdown(): number {
    return this.state === undefined ? 1 : Math.max(1, latencyRatio(this.state));
  }

  private updateConcurrency(
    latencyMs: number,
    outstanding: number,
    rule: WarmupLimits,
    isWarm: boolean
  ): void {
    const state = this.state ?? freshConcurrency(rule);
    this.state = isWarm
      ? adjustConcurrency(state, rule, {latencyMs, outstanding})
      : recordLatency(state, latencyMs);
  }
}
