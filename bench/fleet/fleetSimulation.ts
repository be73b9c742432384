/**
 * Simulates a day of a pool whose demand moves between models, for the measure
 * `fleet`. Work and loads are continuous quantities per tick of virtual time.
 */

import type {
  ModelAssignment,
  FleetTarget,
  ServedModel,
} from '../../src/policy/fleetTally';
import {SeededRandom} from '../fuzz/schedule';

const DAY_MS = 24 * 3_600_000;
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
/** Size of the weights of one model. */
const MODEL_GB = 60;
/** Read bandwidth of one target. */
const TARGET_GB_PER_MS = 1 / 1000;
const DRAIN_MS = 20_000;
/** Time from the end of a load until the target is warm. */
export const WARMUP_MS = 60_000;
/** Concurrent requests on a target that has just loaded a model. */
const COLD_CONCURRENCY = 2;
/** Concurrent requests on a warm target. */
export const WARM_CONCURRENCY = 8;
/** Mean utilization of the whole pool. */
const MEAN_UTILIZATION = 0.55;
/** Share of the loads that fail. */
const LOAD_FAILURE_RATE = 0.02;
/** Largest random deviation of the demand for a model, as a ratio. */
const DEMAND_NOISE = 0.06;
const BURST_MS = 15 * 60_000;

/** Size and seed of a run. */
export interface FleetShape {
  readonly targets: number;
  readonly models: number;
  /** Bandwidth of the weight store, shared by all loads. */
  readonly storeGbPerMs: number;
  /** Least number of targets for each model. */
  readonly min: number;
  readonly tickMs: number;
  readonly seed: number;
}

interface SimulatedTarget {
  readonly targetId: string;
  readonly availabilityZone: string;
  model: number;
  /** Model that it is to load; undefined without an open order. */
  orderedModel?: number;
  drainedAtMs: number;
  leftGb: number;
  loadedAtMs: number;
  changedAtMs: number | undefined;
  hasServed: boolean;
}

/** Totals of a run; demand, served and waiting are summed over ticks. */
export interface FleetTotals {
  demand: number;
  served: number;
  waiting: number;
  loadedGb: number;
  changes: number;
  belowMinMs: number;
  /**
   * Difference between the zones with most and fewest targets of a model,
   * summed over models and ticks.
   */
  zoneGap: number;
  ticks: number;
}

/** Simulation of one pool over one day. */
export class FleetSimulation {
  readonly totals: FleetTotals = {
    demand: 0,
    served: 0,
    waiting: 0,
    loadedGb: 0,
    changes: 0,
    belowMinMs: 0,
    zoneGap: 0,
    ticks: 0,
  };
  readonly served: readonly ServedModel[];
  nowMs = 0;
  /** Durations of the loads since a policy last cleared the list, in ms. */
  loadTimes: number[] = [];
  private readonly targets: readonly SimulatedTarget[];
  private readonly rng: SeededRandom;
  private demands: number[];
  private burst = {model: 0, untilMs: 0};

  constructor(private readonly shape: FleetShape) {
    this.rng = new SeededRandom(shape.seed);
    const {models, targets, min} = shape;
    this.served = Array.from({length: models}, (_, model) => ({
      model: `m${model}`,
      version: 'v1',
      min,
      max: targets,
    }));
    this.demands = this.demandsAt(0);
    this.targets = this.initialTargets();
  }

  get isOver(): boolean {
    return this.nowMs >= DAY_MS;
  }

  /** Present demand in concurrent requests, by model. */
  get demand(): readonly number[] {
    return this.demands;
  }

  /** The targets as control sees them. */
  view(): readonly FleetTarget[] {
    const work = this.workPerTarget();
    return this.targets.map(target => ({
      targetId: target.targetId,
      availabilityZone: target.availabilityZone,
      model: `m${target.model}`,
      modelVersion: 'v1',
      serving: target.orderedModel === undefined,
      temperature: this.temperature(target),
      changed: target.changedAtMs !== undefined,
      changedAtMs: target.changedAtMs,
      limit: this.capacityOf(target),
      work: target.orderedModel === undefined ? (work[target.model] ?? 0) : 0,
    }));
  }

  /** Orders that are not yet finished. */
  openOrders(): readonly ModelAssignment[] {
    return this.targets
      .filter(target => target.orderedModel !== undefined)
      .map(({targetId, orderedModel}) => ({
        targetId,
        model: `m${orderedModel}`,
        version: 'v1',
      }));
  }

  applyOrders(changes: readonly ModelAssignment[]): void {
    const byId = new Map(changes.map(change => [change.targetId, change]));
    for (const target of this.targets) {
      const change = byId.get(target.targetId);
      if (change === undefined || target.orderedModel !== undefined) continue;
      target.orderedModel = Number(change.model.slice(1));
      target.drainedAtMs = this.nowMs + DRAIN_MS;
      target.leftGb = MODEL_GB;
      this.totals.changes++;
    }
  }

  tick(): void {
    const {tickMs} = this.shape;
    this.demands = this.demandsAt(this.nowMs);
    this.updateTotals();
    this.advanceLoads();
    this.nowMs += tickMs;
  }

  private updateTotals(): void {
    const {tickMs, min} = this.shape;
    const capacity = this.demands.map(() => 0);
    const serving = this.demands.map(() => 0);
    const zones = this.demands.map(() => ZONES.map(() => 0));
    for (const target of this.targets) {
      if (target.orderedModel !== undefined) continue;
      const {model} = target;
      capacity[model]! += this.capacityOf(target);
      if (this.temperature(target) !== 'cold') serving[model]!++;
      zones[model]![ZONES.indexOf(target.availabilityZone)]!++;
      target.hasServed ||= this.nowMs > target.loadedAtMs;
    }
    const {totals} = this;
    this.demands.forEach((demand, model) => {
      const done = Math.min(demand, capacity[model]!);
      totals.demand += demand;
      totals.served += done;
      totals.waiting += demand - done;
      if (serving[model]! < min) totals.belowMinMs += tickMs;
      totals.zoneGap += Math.max(...zones[model]!) - Math.min(...zones[model]!);
    });
    totals.ticks++;
  }

  /** All loads share the store; a failed load leaves the old model in place. */
  private advanceLoads(): void {
    const {tickMs, storeGbPerMs} = this.shape;
    const loading = this.targets.filter(
      ({orderedModel, drainedAtMs}) =>
        orderedModel !== undefined && drainedAtMs <= this.nowMs
    );
    const gbPerMs = Math.min(TARGET_GB_PER_MS, storeGbPerMs / loading.length);
    for (const target of loading) {
      const gb = Math.min(target.leftGb, gbPerMs * tickMs);
      target.leftGb -= gb;
      this.totals.loadedGb += gb;
      if (target.leftGb <= 0) this.finishLoad(target);
    }
  }

  private finishLoad(target: SimulatedTarget): void {
    const endMs = this.nowMs + this.shape.tickMs;
    this.loadTimes.push(endMs - (target.drainedAtMs - DRAIN_MS));
    if (this.random() >= LOAD_FAILURE_RATE) target.model = target.orderedModel!;
    target.orderedModel = undefined;
    target.loadedAtMs = endMs;
    target.changedAtMs = endMs;
    target.hasServed = false;
  }

  private capacityOf({loadedAtMs}: SimulatedTarget): number {
    const progress = Math.min(1, (this.nowMs - loadedAtMs) / WARMUP_MS);
    return COLD_CONCURRENCY + (WARM_CONCURRENCY - COLD_CONCURRENCY) * progress;
  }

  private temperature(target: SimulatedTarget): FleetTarget['temperature'] {
    if (!target.hasServed) return 'cold';
    return this.nowMs - target.loadedAtMs >= WARMUP_MS ? 'warm' : 'warming';
  }

  private workPerTarget(): readonly number[] {
    const servingCounts = this.demands.map(() => 0);
    for (const {orderedModel, model} of this.targets)
      if (orderedModel === undefined) servingCounts[model]!++;
    return this.demands.map(
      (demand, model) => demand / (servingCounts[model] || 1)
    );
  }

  /** Each model peaks at its own hour; unforeseen bursts are added. */
  private demandsAt(nowMs: number): number[] {
    const {models, targets} = this.shape;
    const total = MEAN_UTILIZATION * WARM_CONCURRENCY * targets;
    if (nowMs >= this.burst.untilMs && this.random() < 0.002) {
      const model = Math.floor(this.random() * models);
      this.burst = {model, untilMs: nowMs + BURST_MS};
    }
    const weights = Array.from({length: models}, (_, model) => {
      const phase = (2 * Math.PI * model) / models;
      const dailyWave = Math.sin((2 * Math.PI * nowMs) / DAY_MS + phase);
      const burst =
        model === this.burst.model && nowMs < this.burst.untilMs ? 1.5 : 1;
      const weight = (1 + 0.9 * dailyWave) / (1 + 0.15 * model);
      return weight * burst * (1 + DEMAND_NOISE * (2 * this.random() - 1));
    });
    const approxWeightSum = models / (1 + 0.075 * (models - 1));
    return weights.map(weight => (weight * total) / approxWeightSum);
  }

  /** Divides the targets by the mean demand, each model with at least `min`. */
  private initialTargets(): readonly SimulatedTarget[] {
    const {models, targets, min} = this.shape;
    const weights = Array.from({length: models}, (_, m) => 1 / (1 + 0.15 * m));
    const sum = weights.reduce((a, b) => a + b, 0);
    const unreserved = targets - models * min;
    const counts = weights.map(w => min + Math.floor((unreserved * w) / sum));
    const modelByTarget = counts.flatMap((count, model) =>
      new Array<number>(count).fill(model)
    );
    return Array.from({length: targets}, (_, index) => ({
      targetId: `t${String(index).padStart(4, '0')}`,
      availabilityZone: ZONES[index % ZONES.length]!,
      model: modelByTarget[index] ?? index % models,
      drainedAtMs: 0,
      leftGb: 0,
      loadedAtMs: -DAY_MS,
      changedAtMs: undefined,
      hasServed: true,
    }));
  }

  private random(): number {
    return this.rng.int(0, 999_999) / 1e6;
  }
}
