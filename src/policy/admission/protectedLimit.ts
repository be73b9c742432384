/**
 * Limit of one group of a prioritized service: costs of its requests that change
 * without jumps, and the rise of its limit.
 */

import {plausibleFactor} from '../passCorrection';
import {fixedPassMs, passMsPerRequest} from '../passDuration';
import type {GroupLoad, GroupLimitsInput} from './groupLimits';
import type {LimitRise} from './limitRise';
import {nextLimitRise} from './limitRise';
import {MeasuredCost} from './measuredCost';

/** What each request adds to a pass, milliseconds. */
export interface RequestCosts {
  /** Usually; 0 while nothing bounds sustained passes. */
  readonly sustainedMs: number;
  /** Right after a demand shift. */
  readonly shiftMs: number;
}

/** Costs and limit of one group over time. */
export class ProtectedLimit {
  private readonly cost = new MeasuredCost();
  private limit: LimitRise | undefined;
  private heldUntilMs = -Infinity;

  /** Starts a new term: the limit begins at the requests that are running. */
  restart(): void {
    this.limit = undefined;
  }

  /**
   * Records the measured pass; call once before each `rise`. Passes up to
   * `passLimitMs` are in time.
   */
  costs(
    group: GroupLoad,
    input: GroupLimitsInput,
    passLimitMs: number
  ): RequestCosts {
    const {engine, hasAllReports, reportPeriodMs = 0, nowMs} = input;
    const {ranks, running, paceMs, outlook} = group;
    const costAt = (skew: number) => passMsPerRequest({engine, ranks, skew});
    const expectedMs = costAt(outlook.skew);
    // Nodes report passes that a switch delayed until they report the next ones.
    if (outlook.isHeld) this.heldUntilMs = nowMs + reportPeriodMs;
    if (hasAllReports && !this.isHeld(nowMs)) {
      const measured = {
        passMs: paceMs,
        fixedMs: fixedPassMs(engine),
        expectedMs,
        limitMs: passLimitMs,
        minRequests: ranks,
      };
      this.cost.record(measured, running, nowMs);
    }
    const factor = plausibleFactor(this.cost.ratio);
    const sustainedMs = this.cost.sustainedMs(factor * expectedMs, nowMs);
    return {
      // A new leader knows the skew only after its first plan.
      sustainedMs: hasAllReports ? sustainedMs : 0,
      // A group may be slower now than after any recent shift.
      shiftMs: Math.max(
        factor * costAt(outlook.shiftSkew),
        this.cost.lateMs(nowMs)
      ),
    };
  }

  /** The limit, after it has fallen to its bound or risen toward it. */
  rise(
    {ranks, running, paceMs}: GroupLoad,
    {hasAllReports, nowMs}: GroupLimitsInput,
    {bound, passLimitMs}: {readonly bound: number; readonly passLimitMs: number}
  ): number {
    const isInTime = paceMs > 0 && paceMs <= passLimitMs;
    const isCostKnown = running < ranks || this.cost.isKnown(nowMs);
    this.limit = nextLimitRise(this.limit, {
      bound,
      running,
      hasAllReports,
      isServedInTime: isInTime && isCostKnown && !this.isHeld(nowMs),
      nowMs,
    });
    return this.limit.limit;
  }

  private isHeld(nowMs: number): boolean {
    return nowMs <= this.heldUntilMs;
  }
}
