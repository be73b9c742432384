/**
 * A day of a pool whose demand moves between models: targets, weight store and
 * callers as a fluid in virtual time, for `fleet`.
 */

import type {
  FleetChange,
  FleetTarget,
  ServedModel,
} from '../../src/policy/fleetTally';
import {SeededRandom} from '../fuzz/schedule';

const DAY_MS = 24 * 3_600_000;
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
/** Weights of one model, and what one target can read. */
const MODEL_GB = 60;
const TARGET_GB_PER_MS = 1 / 1000;
const DRAIN_MS = 20_000;
/** Time from the load to a warm target. */
export const WARMUP_MS = 60_000;
/** Requests at once on a target that has just loaded. */
const START = 2;
/** Requests at once on a warm target. */
export const FULL = 8;
/** Mean use of the whole pool. */
const MEAN_USE = 0.55;
const LOAD_FAILS = 0.02;
const NOISE = 0.06;
const BURST_MS = 15 * 60_000;

/** Size of a run. */
export interface WorldShape {
  readonly targets: number;
  readonly models: number;
  /** What the weight store gives, over all loads. */
  readonly storeGbPerMs: number;
  readonly min: number;
  readonly tickMs: number;
  readonly seed: number;
}

interface WorldTarget {
  readonly targetId: string;
  readonly availabilityZone: string;
  model: number;
  /** Order under way. */
  to?: number;
  drainedAtMs: number;
  leftGb: number;
  loadedAtMs: number;
  changedAtMs: number | undefined;
  answered: boolean;
}

/** What a run adds up. */
export interface WorldTotals {
  demand: number;
  served: number;
  waiting: number;
  loadedGb: number;
  changes: number;
  belowMinMs: number;
  /** Targets of the most and least filled zone of a model, apart. */
  zoneGap: number;
  ticks: number;
}

/** One pool over one day. */
export class FleetWorld {
  readonly totals: WorldTotals = {
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
  /** Loads that ended since they were last taken, milliseconds. */
  loadTimes: number[] = [];
  private readonly targets: readonly WorldTarget[];
  private readonly rng: SeededRandom;
  private demands: number[];
  private burst = {model: 0, untilMs: 0};

  constructor(private readonly shape: WorldShape) {
    this.rng = new SeededRandom(shape.seed);
    const {models, targets, min} = shape;
    this.served = Array.from({length: models}, (_, model) => ({
      model: `m${model}`,
      version: 'v1',
      min,
      max: targets,
    }));
    this.demands = this.demandsAt(0);
    this.targets = this.placed();
  }

  get over(): boolean {
    return this.nowMs >= DAY_MS;
  }

  /** Requests at once now, by model. */
  get demand(): readonly number[] {
    return this.demands;
  }

  /** As control sees the targets. */
  view(): readonly FleetTarget[] {
    const work = this.workOfOne();
    return this.targets.map(target => ({
      targetId: target.targetId,
      availabilityZone: target.availabilityZone,
      model: `m${target.model}`,
      modelVersion: 'v1',
      serving: target.to === undefined,
      temperature: this.temperature(target),
      changed: target.changedAtMs !== undefined,
      changedAtMs: target.changedAtMs,
      limit: this.bears(target),
      work: target.to === undefined ? (work[target.model] ?? 0) : 0,
    }));
  }

  /** Orders that have not ended. */
  open(): readonly FleetChange[] {
    return this.targets
      .filter(target => target.to !== undefined)
      .map(({targetId, to}) => ({targetId, model: `m${to}`, version: 'v1'}));
  }

  order(changes: readonly FleetChange[]): void {
    const byId = new Map(changes.map(change => [change.targetId, change]));
    for (const target of this.targets) {
      const change = byId.get(target.targetId);
      if (change === undefined || target.to !== undefined) continue;
      target.to = Number(change.model.slice(1));
      target.drainedAtMs = this.nowMs + DRAIN_MS;
      target.leftGb = MODEL_GB;
      this.totals.changes++;
    }
  }

  tick(): void {
    const {tickMs} = this.shape;
    this.demands = this.demandsAt(this.nowMs);
    this.count();
    this.load();
    this.nowMs += tickMs;
  }

  private count(): void {
    const {tickMs, min} = this.shape;
    const bears = this.demands.map(() => 0);
    const serving = this.demands.map(() => 0);
    const zones = this.demands.map(() => ZONES.map(() => 0));
    for (const target of this.targets) {
      if (target.to !== undefined) continue;
      const {model} = target;
      bears[model]! += this.bears(target);
      if (this.temperature(target) !== 'cold') serving[model]!++;
      zones[model]![ZONES.indexOf(target.availabilityZone)]!++;
      target.answered ||= this.nowMs > target.loadedAtMs;
    }
    const {totals} = this;
    this.demands.forEach((demand, model) => {
      const done = Math.min(demand, bears[model]!);
      totals.demand += demand;
      totals.served += done;
      totals.waiting += demand - done;
      if (serving[model]! < min) totals.belowMinMs += tickMs;
      totals.zoneGap += Math.max(...zones[model]!) - Math.min(...zones[model]!);
    });
    totals.ticks++;
  }

  /** Loads share the store; one that fails leaves the old model in place. */
  private load(): void {
    const {tickMs, storeGbPerMs} = this.shape;
    const loading = this.targets.filter(
      ({to, drainedAtMs}) => to !== undefined && drainedAtMs <= this.nowMs
    );
    const each = Math.min(TARGET_GB_PER_MS, storeGbPerMs / loading.length);
    for (const target of loading) {
      const gb = Math.min(target.leftGb, each * tickMs);
      target.leftGb -= gb;
      this.totals.loadedGb += gb;
      if (target.leftGb <= 0) this.loaded(target);
    }
  }

  private loaded(target: WorldTarget): void {
    const endMs = this.nowMs + this.shape.tickMs;
    this.loadTimes.push(endMs - (target.drainedAtMs - DRAIN_MS));
    if (this.random() >= LOAD_FAILS) target.model = target.to!;
    target.to = undefined;
    target.loadedAtMs = endMs;
    target.changedAtMs = endMs;
    target.answered = false;
  }

  private bears({loadedAtMs}: WorldTarget): number {
    const part = Math.min(1, (this.nowMs - loadedAtMs) / WARMUP_MS);
    return START + (FULL - START) * part;
  }

  private temperature(target: WorldTarget): FleetTarget['temperature'] {
    if (!target.answered) return 'cold';
    return this.nowMs - target.loadedAtMs >= WARMUP_MS ? 'warm' : 'warming';
  }

  private workOfOne(): readonly number[] {
    const holders = this.demands.map(() => 0);
    for (const {to, model} of this.targets)
      if (to === undefined) holders[model]!++;
    return this.demands.map((demand, model) => demand / (holders[model] || 1));
  }

  /** Each model has its own hour, and bursts that nobody foresees. */
  private demandsAt(nowMs: number): number[] {
    const {models, targets} = this.shape;
    const total = MEAN_USE * FULL * targets;
    if (nowMs >= this.burst.untilMs && this.random() < 0.002) {
      const model = Math.floor(this.random() * models);
      this.burst = {model, untilMs: nowMs + BURST_MS};
    }
    const parts = Array.from({length: models}, (_, model) => {
      const phase = (2 * Math.PI * model) / models;
      const hour = Math.sin((2 * Math.PI * nowMs) / DAY_MS + phase);
      const burst =
        model === this.burst.model && nowMs < this.burst.untilMs ? 1.5 : 1;
      const weight = (1 + 0.9 * hour) / (1 + 0.15 * model);
      return weight * burst * (1 + NOISE * (2 * this.random() - 1));
    });
    const usual = models / (1 + 0.075 * (models - 1));
    return parts.map(part => (part * total) / usual);
  }

  /** In the parts of the day's mean, every model with its least number. */
  private placed(): readonly WorldTarget[] {
    const {models, targets, min} = this.shape;
    const weights = Array.from({length: models}, (_, m) => 1 / (1 + 0.15 * m));
    const sum = weights.reduce((a, b) => a + b, 0);
    const room = targets - models * min;
    const counts = weights.map(w => min + Math.floor((room * w) / sum));
    const list = counts.flatMap((count, model) =>
      new Array<number>(count).fill(model)
    );
    return Array.from({length: targets}, (_, index) => ({
      targetId: `t${String(index).padStart(4, '0')}`,
      availabilityZone: ZONES[index % ZONES.length]!,
      model: list[index] ?? index % models,
      drainedAtMs: 0,
      leftGb: 0,
      loadedAtMs: -DAY_MS,
      changedAtMs: undefined,
      answered: true,
    }));
  }

  private random(): number {
    return this.rng.int(0, 999_999) / 1e6;
  }
}
