/**
 * How much the target may run now: its ramp from cold, and the work that an
 * earlier boot of the agent may have left running there.
 */

import type {Temperature} from '../core/wire';
import {
  ConcurrencyState,
  concurrencyLimit,
  freshConcurrency,
  latencyRise,
  learnLatency,
  observeLatency,
} from '../policy/concurrencyLimit';
import {
  RampState,
  WarmupLimits,
  freshRamp,
  rampCold,
  rampComplete,
  rampLimit,
  rampRuleChanged,
  rampServed,
} from '../policy/ramp';
import type {TargetObservation} from '../target/targetAdapter';
import {TokenGap, TokenPace} from './tokenPace';

/** Why the target was taken for cold. */
export type ColdReason =
  'restarted' | 'unreachable' | 'loading' | 'claims cold' | 'connection lost';

/** One answered request, for the ramp. */
export interface ServedSample {
  readonly nowMs: number;
  readonly startedAtMs: number;
  readonly outstanding: number;
  /** Estimated cost, see `requestCost`. */
  readonly cost: number;
}

function isSameRule(a: WarmupLimits, b: WarmupLimits): boolean {
  return a.start === b.start && a.full === b.full && a.overMs === b.overMs;
}

/** Tracks one target; times are `performance.now()` milliseconds. */
export class TargetState {
  private ramp: RampState;
  private latency: ConcurrencyState | undefined;
  private readonly pace = new TokenPace();
  private rule: WarmupLimits | undefined;
  private targetBootId: string | undefined;
  private answering = false;
  private claimedCold = false;
  /** Undefined until a report made after this boot's start has come. */
  private leftover: number | undefined;

  constructor(private readonly startedAtMs: number) {
    this.ramp = freshRamp(startedAtMs);
  }

  /** Whether the target answers and is ready. */
  get ready(): boolean {
    return this.answering;
  }

  /** Takes in one look at the target; returns why it now counts as cold. */
  observed(
    seen: TargetObservation,
    ownOutstanding: number,
    nowMs: number
  ): ColdReason | undefined {
    this.countLeftover(seen, ownOutstanding, nowMs);
    const reason = this.coldReason(seen);
    this.targetBootId = seen.bootId;
    this.claimedCold = seen.cold === true;
    this.answering = seen.state === 'ready';
    if (reason !== undefined) this.ramp = rampCold(this.ramp, nowMs);
    return reason;
  }

  /**
   * Any silence or lost connection is cold until proven otherwise: the target
   * may have restarted without a word, and full load would topple it.
   */
  lost(nowMs: number): void {
    this.answering = false;
    this.ramp = rampCold(this.ramp, nowMs);
  }

  /** A request failed on its connection while the target seemed well. */
  strained(nowMs: number): void {
    this.ramp = rampCold(this.ramp, nowMs);
  }

  served(sample: ServedSample, rule: WarmupLimits): void {
    const {nowMs, startedAtMs, outstanding, cost} = sample;
    const latency = this.adopt(rule, nowMs);
    const latencyMs = (nowMs - startedAtMs) / Math.max(1, cost);
    // While it warms, the ramp alone answers to strain.
    this.latency = rampComplete(this.ramp, rule)
      ? observeLatency(latency, rule, {latencyMs, outstanding})
      : learnLatency(latency, latencyMs);
    const slowdown = latencyRise(this.latency);
    this.ramp = rampServed(this.ramp, rule, {
      nowMs,
      startedAtMs,
      outstanding,
      slowdown,
    });
  }

  /**
   * A token of a stream came. The time between tokens shows strain within a
   * few steps; whole answers tell of it only when they end, long after a
   * target that warms slower than its rule says was given too much.
   */
  token(gap: TokenGap, rule: WarmupLimits): void {
    this.adopt(rule, gap.nowMs);
    const warm = rampComplete(this.ramp, rule);
    const sample = this.pace.take(gap, rule, warm);
    if (sample !== undefined) this.ramp = rampServed(this.ramp, rule, sample);
  }

  /** A prompt is taken in: the tokens of others come slower meanwhile. */
  prefillBegan(): void {
    this.pace.prefillBegan();
  }

  /** See `prefillBegan`; called once for each. */
  prefillEnded(nowMs: number): void {
    this.pace.prefillEnded(nowMs);
  }

  /** Requests that this agent may have running at once. */
  limit(rule: WarmupLimits, nowMs: number): number {
    if (!this.answering || this.leftover === undefined) return 0;
    const latency = this.adopt(rule, nowMs);
    const ramp = rampLimit(this.ramp, rule, nowMs);
    const bearable = Math.min(
      ramp,
      concurrencyLimit(latency, rule),
      this.pace.limit(rule)
    );
    return Math.max(0, bearable - this.leftover);
  }

  /** A rule that changed mid-ramp must not lift the limit at once. */
  private adopt(rule: WarmupLimits, nowMs: number): ConcurrencyState {
    const {rule: before} = this;
    this.rule = rule;
    if (before !== undefined && !isSameRule(before, rule))
      this.ramp = rampRuleChanged(this.ramp, before, nowMs);
    this.latency ??= freshConcurrency(rule);
    return this.latency;
  }

  /** Step time now over the usual one, at least 1. */
  slowdown(): number {
    return this.pace.slowdown();
  }

  temperature(rule: WarmupLimits): Temperature {
    if (rampComplete(this.ramp, rule)) return 'warm';
    return this.ramp.level === undefined ? 'cold' : 'warming';
  }

  private coldReason(seen: TargetObservation): ColdReason | undefined {
    if (this.targetBootId !== undefined && seen.bootId !== this.targetBootId)
      return 'restarted';
    if (seen.state === 'loading') return 'loading';
    // Only the turn counts: a target that says so until it is warm would
    // otherwise be held at the start for good.
    if (seen.cold === true && !this.claimedCold) return 'claims cold';
    return undefined;
  }

  /**
   * An agent that restarted does not know what its earlier boot left running.
   * A report made before the restart can miss some of it, so nothing starts
   * until a later report has come; what that counts beyond our own work is
   * left over, and it only shrinks.
   */
  private countLeftover(
    seen: TargetObservation,
    ownOutstanding: number,
    nowMs: number
  ): void {
    const {load} = seen;
    if (load === undefined) {
      this.leftover = 0;
      return;
    }
    if (nowMs - load.loadAgeMs < this.startedAtMs) return;
    const foreign = Math.max(0, load.running + load.waiting - ownOutstanding);
    this.leftover = Math.min(this.leftover ?? foreign, foreign);
  }
}
