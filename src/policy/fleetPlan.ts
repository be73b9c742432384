/**
 * Plans which targets of a pool change their model or its version now. Pure.
 * An order takes a target out of service while it loads, so an order must be
 * worth its cost, and none may leave a model with fewer serving targets than the
 * rules require: outdated targets keep serving until others serve in their place.
 */

import {FleetTally} from './fleetTally';
import type {ModelAssignment, FleetTarget, ServedModel} from './fleetTally';

/** Thresholds and limits of the plan; times in milliseconds. */
export interface FleetConfig {
  /** Maximum ratio of the pool that may change at once; at least one target. */
  readonly maxChangingRatio: number;
  /** Concurrent loads that the weight store can deliver. */
  readonly maxConcurrentLoads: number;
  /** Utilization of its targets above which a model needs more of them. */
  readonly shortageUtilization: number;
  /** Maximum utilization of the remaining targets after one is given away. */
  readonly donorMaxUtilization: number;
  /** Maximum utilization of the remaining targets while one loads a version. */
  readonly rolloutMaxUtilization: number;
  /** Minimum time that a target keeps a model after changing to it. */
  readonly minDwellMs: number;
  /** Period over which an order must gain more than it costs. */
  readonly paybackHorizonMs: number;
  /** Cost of a slot out of service, relative to the gain of a request served. */
  readonly lostSlotCost: number;
}

/** Defaults; see docs/DESIGN-fleet.md. */
export const FLEET_DEFAULTS: FleetConfig = {
  maxChangingRatio: 0.1,
  maxConcurrentLoads: 16,
  shortageUtilization: 0.85,
  donorMaxUtilization: 0.8,
  rolloutMaxUtilization: 0.9,
  minDwellMs: 600_000,
  paybackHorizonMs: 1_800_000,
  lostSlotCost: 0.25,
};

/** Input of the plan. */
export interface FleetView {
  readonly models: readonly ServedModel[];
  readonly targets: readonly FleetTarget[];
  /** Orders that may still be in progress. */
  readonly open: readonly ModelAssignment[];
  /** Concurrent requests by model, smoothed. */
  readonly demand: ReadonlyMap<string, number>;
  /** Models whose version failed to load too often. */
  readonly halted: ReadonlySet<string>;
  /** Concurrency of a warm target. */
  readonly full: number;
  /** Expected time from an order to the end of the load. */
  readonly loadMs: number;
  /** Expected time from the end of the load until the target is warm. */
  readonly warmupMs: number;
  readonly nowMs: number;
}

/** A model that needs more or updated targets but gets none now. */
export interface BlockedModel {
  readonly model: string;
  readonly reason: 'halted' | 'no spare target' | 'does not pay' | 'min';
}

/** Orders to send now, and models that have to wait. */
export interface FleetPlan {
  readonly changes: readonly ModelAssignment[];
  readonly blocked: readonly BlockedModel[];
}

/** Plans the next orders; orders in progress are never revoked. */
export function planFleet(view: FleetView, cfg: FleetConfig): FleetPlan {
  return new Planner(view, cfg).plan();
}

interface Shortage {
  readonly served: ServedModel;
  readonly belowMin: boolean;
  /** Demand beyond the capacity of the model's targets, in concurrent requests. */
  readonly unmetDemand: number;
}

class Planner {
  private readonly tally: FleetTally;
  private readonly changes: ModelAssignment[] = [];
  private readonly blocked: BlockedModel[] = [];
  private readonly assigned = new Set<string>();
  private budget: number;

  constructor(
    private readonly view: FleetView,
    private readonly cfg: FleetConfig
  ) {
    const {models, targets, open, demand} = view;
    this.tally = new FleetTally(models, targets, open, demand);
    const maxChanging = Math.max(
      1,
      Math.floor(cfg.maxChangingRatio * targets.length)
    );
    this.budget =
      Math.min(maxChanging, cfg.maxConcurrentLoads) - this.tally.unsettledCount;
  }

  plan(): FleetPlan {
    // Each order changes the counts, so the most urgent shortage is recomputed.
    const skipped = new Set<string>();
    while (this.budget > 0) {
      const shortage = this.mostUrgent(skipped);
      if (shortage === undefined) break;
      if (!this.assign(shortage)) skipped.add(shortage.served.model);
    }
    for (const served of this.view.models) this.rollOut(served);
    return {changes: this.changes, blocked: this.blocked};
  }

  private mostUrgent(skipped: ReadonlySet<string>): Shortage | undefined {
    const shortages = this.view.models
      .filter(({model}) => !skipped.has(model))
      .map(served => this.shortageOf(served))
      .filter(shortage => shortage.belowMin || shortage.unmetDemand > 0);
    return shortages.sort(byUrgency)[0];
  }

  private shortageOf(served: ServedModel): Shortage {
    const {serving, pending} = this.tally.countsOf(served.model);
    const held = serving + pending;
    const usableSlots = held * this.view.full * this.cfg.shortageUtilization;
    const excess = this.demandOf(served.model) - usableSlots;
    const unmetDemand = held < served.max ? Math.max(0, excess) : 0;
    return {served, belowMin: held < served.min, unmetDemand};
  }

  private assign(shortage: Shortage): boolean {
    const {model} = shortage.served;
    if (!this.canLoad(shortage.served)) return false;
    if (!shortage.belowMin && !this.isWorthLoad(shortage.unmetDemand))
      return this.block(model, 'does not pay');
    const donor = this.donorFor(shortage);
    if (donor === undefined) return this.block(model, 'no spare target');
    this.order(donor, shortage.served);
    return true;
  }

  /** A version that no target serves yet is first tried on a single target. */
  private canLoad({model}: ServedModel): boolean {
    if (this.view.halted.has(model)) return this.block(model, 'halted');
    const {proven, pending} = this.tally.countsOf(model);
    return proven > 0 || pending === 0;
  }

  private block(model: string, reason: BlockedModel['reason']): false {
    this.blocked.push({model, reason});
    return false;
  }

  private isWorthLoad(unmetDemand: number): boolean {
    const {full, loadMs, warmupMs} = this.view;
    const {paybackHorizonMs, lostSlotCost} = this.cfg;
    const lostMs = loadMs + warmupMs / 2;
    const gain = Math.min(unmetDemand, full) * (paybackHorizonMs - lostMs);
    return gain > full * lostMs * lostSlotCost;
  }

  private donorFor({served, belowMin}: Shortage): FleetTarget | undefined {
    const {zones} = this.tally.countsOf(served.model);
    const modelTargetsInZone = (target: FleetTarget) =>
      zones.get(target.availabilityZone) ?? 0;
    const donorTargetsInZone = (target: FleetTarget) =>
      this.tally
        .countsOf(target.model ?? '')
        .zones.get(target.availabilityZone) ?? 0;
    const donors = this.tally.free.filter(
      target =>
        target.model !== served.model && this.canDonate(target, belowMin)
    );
    return minBy(donors, (a, b) => {
      const withoutRuleFirst =
        Number(this.tally.hasRule(a.model)) -
        Number(this.tally.hasRule(b.model));
      return (
        modelTargetsInZone(a) - modelTargetsInZone(b) ||
        withoutRuleFirst ||
        donorTargetsInZone(b) - donorTargetsInZone(a) ||
        a.work - b.work ||
        (a.targetId < b.targetId ? -1 : 1)
      );
    });
  }

  private canDonate(target: FleetTarget, urgent: boolean): boolean {
    if (this.assigned.has(target.targetId) || !target.serving) return false;
    const {model, changedAtMs = -Infinity} = target;
    if (model === undefined || !this.tally.hasRule(model)) return true;
    const dwellElapsed = this.view.nowMs - changedAtMs >= this.cfg.minDwellMs;
    if (!dwellElapsed && !urgent) return false;
    return this.staysServed(target, this.cfg.donorMaxUtilization);
  }

  /**
   * Whether the model's other targets satisfy the minimum of the rules and stay
   * below a utilization.
   */
  private staysServed(target: FleetTarget, maxUtilization: number): boolean {
    const model = target.model ?? '';
    const min = this.view.models.find(one => one.model === model)?.min ?? 0;
    // A target that does not serve leaves the number of serving ones unchanged.
    const remaining =
      this.tally.countsOf(model).serving - (this.tally.serves(target) ? 1 : 0);
    if (remaining < min) return false;
    return this.demandOf(model) <= remaining * this.view.full * maxUtilization;
  }

  private rollOut(served: ServedModel): void {
    const {model} = served;
    const outdated = this.tally.free.filter(
      target =>
        target.model === model &&
        target.serving &&
        this.tally.isOutdated(target) &&
        !this.assigned.has(target.targetId)
    );
    if (outdated.length === 0) return;
    for (const target of outdated) {
      if (this.budget <= 0 || !this.canLoad(served)) return;
      if (!this.staysServed(target, this.cfg.rolloutMaxUtilization)) {
        this.block(model, 'min');
        return;
      }
      this.order(target, served);
    }
  }

  private order(target: FleetTarget, {model, version}: ServedModel): void {
    this.tally.reassign(target, model);
    this.assigned.add(target.targetId);
    this.changes.push({targetId: target.targetId, model, version});
    this.budget--;
  }

  private demandOf(model: string): number {
    return this.view.demand.get(model) ?? 0;
  }
}

function byUrgency(a: Shortage, b: Shortage): number {
  const belowMin = Number(b.belowMin) - Number(a.belowMin);
  return belowMin || b.unmetDemand - a.unmetDemand;
}

function minBy<T>(
  items: readonly T[],
  compare: (a: T, b: T) => number
): T | undefined {
  return items.reduce<T | undefined>(
    (best, item) =>
      best === undefined || compare(item, best) < 0 ? item : best,
    undefined
  );
}
