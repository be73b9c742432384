/**
 * Determines the target's concurrency limit: its ramp after a cold start, its
 * latency, and requests that an earlier agent boot may have left running.
 */

import type {Temperature} from '../core/wire';
import {
  ConcurrencyState,
  concurrencyLimit,
  freshConcurrency,
  latencyRatio,
  recordLatency,
  adjustConcurrency,
} from '../policy/concurrencyLimit';
import {
  RampState,
  WarmupLimits,
  freshRamp,
  restartRamp,
  isRampComplete,
  rampLimit,
  rampRuleChanged,
  rampAfterResponse,
} from '../policy/ramp';
import type {TargetObservation} from '../target/targetAdapter';
import {TokenGap, TokenLatencyMonitor} from './tokenLatencyMonitor';

/** Why the target is considered cold. */
export type ColdReason =
  'restarted' | 'unreachable' | 'loading' | 'claims cold' | 'connection lost';

/** One completed request. */
export interface ResponseSample {
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
  private concurrency: ConcurrencyState | undefined;
  private readonly tokenLatency = new TokenLatencyMonitor();
  private rule: WarmupLimits | undefined;
  private targetBootId: string | undefined;
  private isReady = false;
  private reportedCold = false;
  /** Undefined until a load report measured after this boot's start arrives. */
  private leftoverRequests: number | undefined;

  constructor(private readonly startedAtMs: number) {
    this.ramp = freshRamp(startedAtMs);
  }

  /** Whether the last probe succeeded and reported the target as ready. */
  get ready(): boolean {
    return this.isReady;
  }

  /**
   * Records a successful probe; returns the reason if it shows a cold target.
   */
  recordObservation(
    observation: TargetObservation,
    ownOutstanding: number,
    nowMs: number
  ): ColdReason | undefined {
    this.updateLeftover(observation, ownOutstanding, nowMs);
    const reason = this.coldReason(observation);
    this.targetBootId = observation.bootId;
    this.reportedCold = observation.cold === true;
    this.isReady = observation.state === 'ready';
    if (reason !== undefined) this.ramp = restartRamp(this.ramp, nowMs);
    return reason;
  }

  /**
   * Records that the target did not respond. It may have restarted unnoticed,
   * so it counts as cold: full load would overload a target that has just
   * started.
   */
  markUnreachable(nowMs: number): void {
    this.isReady = false;
    this.ramp = restartRamp(this.ramp, nowMs);
  }

  /**
   * Restarts the ramp of a target that is ready but may be cold or overloaded,
   * such as after a request that lost its connection.
   */
  restartRamp(nowMs: number): void {
    this.ramp = restartRamp(this.ramp, nowMs);
  }

  recordResponse(sample: ResponseSample, rule: WarmupLimits): void {
    const {nowMs, startedAtMs, outstanding, cost} = sample;
    const concurrency = this.applyRule(rule, nowMs);
    const latencyMs = (nowMs - startedAtMs) / Math.max(1, cost);
    // During the warmup, only the ramp reacts to high latency.
    this.concurrency = isRampComplete(this.ramp, rule)
      ? adjustConcurrency(concurrency, rule, {latencyMs, outstanding})
      : recordLatency(concurrency, latencyMs);
    const slowdown = latencyRatio(this.concurrency);
    this.ramp = rampAfterResponse(this.ramp, rule, {
      nowMs,
      startedAtMs,
      outstanding,
      slowdown,
    });
  }

  /**
   * Records the time between two tokens of a stream. It shows an overload
   * within a few passes. The latency of whole responses shows it only at their
   * end, long after a target that warms up slower than its rule has received
   * too much.
   */
  recordTokenGap(gap: TokenGap, rule: WarmupLimits): void {
    this.applyRule(rule, gap.nowMs);
    const isWarm = isRampComplete(this.ramp, rule);
    const sample = this.tokenLatency.recordGap(gap, rule, isWarm);
    if (sample !== undefined)
      this.ramp = rampAfterResponse(this.ramp, rule, sample);
  }

  /**
   * The target starts to process a prompt, which slows the tokens of others.
   */
  prefillStarted(): void {
    this.tokenLatency.prefillStarted();
  }

  /** See `prefillStarted`; called once for each. */
  prefillEnded(nowMs: number): void {
    this.tokenLatency.prefillEnded(nowMs);
  }

  /** Concurrency limit of this agent. */
  limit(rule: WarmupLimits, nowMs: number): number {
    if (!this.isReady || this.leftoverRequests === undefined) return 0;
    const concurrency = this.applyRule(rule, nowMs);
    const rampedLimit = rampLimit(this.ramp, rule, nowMs);
    const targetLimit = Math.min(
      rampedLimit,
      concurrencyLimit(concurrency, rule),
      this.tokenLatency.limit(rule)
    );
    return Math.max(0, targetLimit - this.leftoverRequests);
  }

  /** A rule that changes during the ramp must not raise the limit at once. */
  private applyRule(rule: WarmupLimits, nowMs: number): ConcurrencyState {
    const {rule: previousRule} = this;
    this.rule = rule;
    if (previousRule !== undefined && !isSameRule(previousRule, rule))
      this.ramp = rampRuleChanged(this.ramp, previousRule, nowMs);
    this.concurrency ??= freshConcurrency(rule);
    return this.concurrency;
  }

  /** Current over usual pass duration, at least 1. */
  slowdown(): number {
    return this.tokenLatency.slowdown();
  }

  temperature(rule: WarmupLimits): Temperature {
    if (isRampComplete(this.ramp, rule)) return 'warm';
    return this.ramp.level === undefined ? 'cold' : 'warming';
  }

  private coldReason(observation: TargetObservation): ColdReason | undefined {
    if (
      this.targetBootId !== undefined &&
      observation.bootId !== this.targetBootId
    )
      return 'restarted';
    if (observation.state === 'loading') return 'loading';
    // Only the change to cold counts: a target that reports cold until it is
    // warm would otherwise restart its ramp at each probe and never get warm.
    if (observation.cold === true && !this.reportedCold) return 'claims cold';
    return undefined;
  }

  /**
   * A restarted agent does not know which requests its earlier boot left
   * running. A load measured before the restart may miss some of them, so
   * nothing starts until a later measurement arrives. Requests in it that this
   * boot did not send are leftovers; their number can only decrease.
   */
  private updateLeftover(
    observation: TargetObservation,
    ownOutstanding: number,
    nowMs: number
  ): void {
    const {load} = observation;
    if (load === undefined) {
      this.leftoverRequests = 0;
      return;
    }
    if (nowMs - load.loadAgeMs < this.startedAtMs) return;
    const unaccounted = Math.max(
      0,
      load.running + load.waiting - ownOutstanding
    );
    this.leftoverRequests = Math.min(
      this.leftoverRequests ?? unaccounted,
      unaccounted
    );
  }
}
