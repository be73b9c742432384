/**
 * Admission ratios of one service, by urgency and customer, from the demand at all
 * nodes. The leader keeps one plan for each prioritized service.
 */

import {ratioAtLevel, waterLevel} from './customerShares';
import {
  DemandTotals,
  type DemandReport,
  type UrgencyLevel,
} from './demandTotals';
import type {UrgencyKey} from './urgency';
import {urgencyRatios} from './urgencyRatios';

/** Smoothing of the demand, with the averaging within each report. */
const SMOOTHING_MS = 500;
const MIN_SMOOTHING_MS = 50;
/**
 * Demand, relative to the capacity, at which shedding starts. It ends when the demand
 * fits the capacity, so that a service at the edge does not start at each report.
 */
const START_RATIO = 1.03;
/** Part of the way to a higher ratio that is left after one report period. */
const RISE_LEFT_PER_PERIOD = 2 / 3;
/** A rising ratio above this is 1, which it would otherwise only approach. */
const WHOLE_RATIO = 0.99;
/** Steps of the ratios on the wire, so that nearly equal ones are sent once. */
const STEPS = 1_000;
const MS_PER_S = 1_000;

/** What the demand is compared with. */
export interface PlanInput {
  /** Requests that the service may run at once. */
  readonly capacity: number;
  /** Whether `capacity` covers only the nodes that have reported; false if absent. */
  readonly isCapacityPartial?: boolean;
  /** Nodes that serve callers, also those that have not reported yet. */
  readonly knownNodes: number;
  /** Whether nodes have not had time to report to this leader. */
  readonly isCollecting: boolean;
  /** Period in which each node reports, milliseconds. */
  readonly periodMs: number;
  readonly nowMs: number;
}

/** Admission ratio of one urgency, 0 to 1. */
export interface UrgencyRatio {
  readonly urgency: UrgencyKey;
  readonly ratio: number;
  /** Ratios of the customers that differ from `ratio`. */
  readonly customers: ReadonlyMap<string, number>;
}

/** Demand of one urgency, in slots, and its ratio. */
export interface UrgencyState {
  readonly urgency: UrgencyKey;
  readonly slots: number;
  readonly ratio: number;
}

/** Work of one customer per second, output tokens. */
export interface CustomerUse {
  readonly customer: string;
  /** Work that is admitted. */
  readonly used: number;
  /** Work that may be admitted; equals `used` where nothing is shed. */
  readonly allowed: number;
}

/** Computes the ratios from the reports of the nodes. */
export class AdmissionPlan {
  private readonly totals = new DemandTotals();
  private readonly ratioOf = new Map<UrgencyKey, number>();
  private readonly levelOf = new Map<UrgencyKey, number>();
  private updatedAtMs = -Infinity;
  private isShedding = false;

  /** Ratios by urgency, the most urgent first; undefined when all is admitted. */
  ratios: readonly UrgencyRatio[] | undefined;

  /** Demand for slots at all nodes, also at those that declare no urgency. */
  wanted = 0;

  /** Demand that the last ratios were computed from. */
  states: readonly UrgencyState[] = [];

  /** @param floor Part of its demand that each urgency keeps, 0 to 1. */
  constructor(private readonly floor: number) {}

  /** Takes a report, which counts until the next one of the node. */
  report(node: string, report: DemandReport, nowMs: number): void {
    this.totals.add(node, report, nowMs);
  }

  /** Computes the ratios anew. */
  update(input: PlanInput): void {
    const {periodMs, nowMs} = input;
    const elapsedMs = Math.min(periodMs, nowMs - this.updatedAtMs);
    this.updatedAtMs = nowMs;
    this.totals.expire(nowMs);
    const {reportedNodes} = this.totals;
    const isCollecting = input.isCollecting && reportedNodes < input.knownNodes;
    this.totals.smooth(
      elapsedMs,
      isCollecting ? 0 : Math.max(MIN_SMOOTHING_MS, SMOOTHING_MS - periodMs / 2)
    );
    if (!this.isShedding) this.totals.removeIdleLevels();
    const scale = this.unreportedScale(input);
    const capacity = input.capacity * (input.isCapacityPartial ? scale : 1);
    const demands = this.demandsInSlots(scale);
    this.wanted = demands.reduce((sum, demand) => sum + demand, 0);
    // Without any capacity there is an outage, which the queues answer.
    const hasCapacity = Number.isFinite(capacity) && capacity > 0;
    if (!hasCapacity) this.stopShedding();
    else if (this.wanted > capacity * START_RATIO) this.isShedding = true;
    if (this.isShedding)
      this.moveRatios(
        urgencyRatios(capacity, demands, this.floor),
        isCollecting
          ? 1
          : 1 - Math.pow(RISE_LEFT_PER_PERIOD, elapsedMs / periodMs)
      );
    this.publish(demands);
  }

  /** Use and share of each customer, over all urgencies. */
  customerUse(): readonly CustomerUse[] {
    const uses = new Map<string, CustomerUse>();
    for (const {key, customers} of this.totals.levels) {
      const level = this.levelOf.get(key) ?? Infinity;
      for (const [customer, {work}] of customers) {
        const earlier = uses.get(customer) ?? {used: 0, allowed: 0};
        uses.set(customer, {
          customer,
          used: earlier.used + Math.min(work, level),
          allowed: earlier.allowed + (level === Infinity ? work : level),
        });
      }
    }
    return [...uses.values()];
  }

  /** Until all nodes have reported, the others count as the mean of those that have. */
  private unreportedScale({isCollecting, knownNodes}: PlanInput): number {
    const {reportedNodes} = this.totals;
    return isCollecting && reportedNodes > 0
      ? Math.max(1, knownNodes / reportedNodes)
      : 1;
  }

  /** Demand of each level, and last that of the nodes which declare none. */
  private demandsInSlots(scale: number): readonly number[] {
    const {levels, serviceTimeMs, undeclared} = this.totals;
    const slotsPerRate = (scale * serviceTimeMs) / MS_PER_S;
    const declared = levels.map(
      ({customers}) => arrivalsOf(customers.values()) * slotsPerRate
    );
    return [...declared, scale * undeclared];
  }

  /** Ratios fall at once and rise by a part of the way. */
  private moveRatios(targets: readonly number[], risePart: number): void {
    let moreUrgent = 1;
    this.totals.levels.forEach(({key}, i) => {
      const ratio = this.ratioOf.get(key) ?? 1;
      const target = targets[i] ?? 1;
      const moved = ratio + Math.max(0, target - ratio) * risePart;
      const next =
        target === 1 && moved > WHOLE_RATIO ? 1 : Math.min(target, moved);
      moreUrgent = Math.min(moreUrgent, next);
      this.ratioOf.set(key, moreUrgent);
    });
    if (moreUrgent === 1) this.stopShedding();
  }

  private publish(demands: readonly number[]): void {
    const {levels} = this.totals;
    this.states = levels.map(({key}, i) => ({
      urgency: key,
      slots: demands[i] ?? 0,
      ratio: this.ratioOf.get(key) ?? 1,
    }));
    this.ratios = this.isShedding
      ? levels.map(level => this.customerRatios(level))
      : undefined;
  }

  private stopShedding(): void {
    this.isShedding = false;
    this.ratioOf.clear();
    this.levelOf.clear();
  }

  /** Fair shares within one urgency, which together make up its ratio. */
  private customerRatios({key, customers}: UrgencyLevel): UrgencyRatio {
    const urgencyRatio = this.ratioOf.get(key) ?? 1;
    const ratio = toStep(urgencyRatio);
    const demands = [...customers.values()];
    const work = demands.reduce((sum, demand) => sum + demand.work, 0);
    const level =
      urgencyRatio === 1 ? Infinity : waterLevel(urgencyRatio * work, demands);
    this.levelOf.set(key, level);
    const differing = [...customers]
      .map(([name, demand]) => {
        return [name, toStep(ratioAtLevel(level, demand))] as const;
      })
      .filter(([, customerRatio]) => customerRatio !== ratio);
    return {urgency: key, ratio, customers: new Map(differing)};
  }
}

function arrivalsOf(demands: Iterable<{readonly arrivals: number}>): number {
  let total = 0;
  for (const {arrivals} of demands) total += arrivals;
  return total;
}

function toStep(ratio: number): number {
  return Math.round(ratio * STEPS) / STEPS;
}
