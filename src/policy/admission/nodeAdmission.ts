/**
 * Admission of one prioritized service at one node before its queue: applies the
 * leader's ratios, tells refused callers when to return, and counts the demand.
 */

import type {Arrival, UrgencyRatios} from './admissionGate';
import {AdmissionGate} from './admissionGate';
import type {CountedDemand} from './demandCounter';
import {DemandCounter} from './demandCounter';
import {QueueRetry} from './queueRetry';
import {RefusedRequests} from './refusedRequests';
import {ReturnSchedule, latestReturnMs} from './returnSchedule';
import type {UrgencyKey} from './urgency';

/** A request as it arrives. */
export interface ArrivingRequest extends Arrival {
  /** Repeated by a retry; absent when the caller states none. */
  readonly promptId?: string;
  /** Estimated cost in output tokens. */
  readonly work: number;
  /** Time until its deadline, milliseconds. */
  readonly remainingMs: number;
  /** Slots of this node that become free per second. */
  readonly freedPerSecond: number;
}

/** Decision at arrival, with the ratio that applied. */
export type AdmissionDecision =
  | {
      readonly kind: 'admitted';
      readonly ratio: number;
      /** Whether it returns as told after a refusal of this node. */
      readonly isReturning: boolean;
    }
  | {
      readonly kind: 'refused';
      readonly ratio: number;
      readonly retryInMs: number;
    };

/**
 * Part of the slots that become free which is assigned to returning requests. The
 * rest absorbs the variation of service times, which has callers refused twice.
 */
const RETURN_CAPACITY_RATIO = 0.9;

/** Admission ratios, return times and demand of one service. */
export class NodeAdmission {
  private readonly gate: AdmissionGate;
  private readonly schedule: ReturnSchedule;
  private readonly queueRetry: QueueRetry;
  private readonly refused = new RefusedRequests();
  private readonly demand = new DemandCounter();
  private grantedAtMs: number | undefined;
  private freshForMs = 0;

  /** `random` returns 0 up to but excluding 1. */
  constructor(random: () => number) {
    this.gate = new AdmissionGate(random);
    this.schedule = new ReturnSchedule(random);
    this.queueRetry = new QueueRetry(random);
  }

  /** Applies the ratios of a grant, which counts as fresh for `freshForMs`. */
  applyGrant(
    ratios: readonly UrgencyRatios[],
    freshForMs: number,
    grantedAtMs: number
  ): void {
    this.gate.setRatios(ratios);
    this.freshForMs = freshForMs;
    this.grantedAtMs = grantedAtMs;
  }

  /** Time since the last grant, milliseconds; undefined before the first. */
  grantAgeMs(nowMs: number): number | undefined {
    if (this.grantedAtMs === undefined) return undefined;
    return Math.max(0, nowMs - this.grantedAtMs);
  }

  /** Counts an arrival as demand and decides whether it may enter the queue. */
  arrive(request: ArrivingRequest, nowMs: number): AdmissionDecision {
    const {customer, promptId, work} = request;
    this.demand.record(request, work);
    const returned = this.refused.take(customer, promptId, nowMs);
    const staleMs = this.staleMs(nowMs);
    const decision = this.gate.decide(request, returned, staleMs, nowMs);
    const {isAdmitted, ratio} = decision;
    if (isAdmitted) {
      this.queueRetry.recordRequest(request.urgency, nowMs);
      return {kind: 'admitted', ratio, isReturning: returned.kind === 'due'};
    }
    // A caller that returns early keeps its time, and so gains nothing.
    const retryInMs =
      returned.kind === 'early'
        ? returned.waitMs
        : this.assignReturn(request, nowMs);
    return {kind: 'refused', ratio, retryInMs};
  }

  /** Counts a refusal by the queue and returns its Retry-After, milliseconds. */
  refuseInQueue(request: ArrivingRequest, nowMs: number): number {
    const {customer, promptId, urgency, remainingMs} = request;
    const quickMs = this.queueRetry.recordRefusal(urgency, nowMs);
    if (quickMs === undefined) return this.assignReturn(request, nowMs);
    // A caller with little time left returns before Retry-After.
    const waitMs = Math.min(quickMs, latestReturnMs(remainingMs));
    this.refused.record(customer, promptId, nowMs + waitMs, nowMs);
    return quickMs;
  }

  /** Demand since the last call. */
  takeDemand(): readonly CountedDemand[] {
    return this.demand.take();
  }

  /** Present ratio of each known urgency. */
  ratios(nowMs: number): ReadonlyMap<UrgencyKey, number> {
    return this.gate.ratios(this.staleMs(nowMs));
  }

  private assignReturn(request: ArrivingRequest, nowMs: number): number {
    const {urgency, customer, promptId, remainingMs, freedPerSecond} = request;
    const rate = Math.min(
      this.gate.admittedPerSecond(urgency, this.staleMs(nowMs), nowMs),
      freedPerSecond * RETURN_CAPACITY_RATIO
    );
    const waitMs = this.schedule.assign(urgency, rate, remainingMs, nowMs);
    this.refused.record(customer, promptId, nowMs + waitMs, nowMs);
    return waitMs;
  }

  private staleMs(nowMs: number): number {
    const ageMs = this.grantAgeMs(nowMs) ?? 0;
    return Math.max(0, ageMs - this.freshForMs);
  }
}
