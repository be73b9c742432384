/** Policies of expert placement that the placement measures compare. */

import type {ExpertMap} from '../../src/core/mapMessages';
import type {PlacementShape, SlotChange} from '../../src/policy/placement';
import {weightLoadsByRank, mapSkew} from '../../src/policy/placement';
import {
  placeFromScratch,
  relabelToFewestLoads,
} from '../../src/policy/placementGreedy';
import {withBestShares} from '../../src/policy/placementSplit';
import type {
  PopularityForecast,
  PopularitySample,
} from '../../src/policy/popularity';
import {PopularityEstimate} from '../../src/policy/popularity';
import type {RebalanceConfig} from '../../src/policy/rebalanceDecision';
import {loadTimeMs, planCostMs} from '../../src/policy/rebalanceDecision';
import {RebalancePlanner} from '../../src/policy/rebalancePlanner';

/** Accumulated cost of a policy. */
export interface PolicyCost {
  loads: number;
  switches: number;
  /** Step time lost to loads and map switches. */
  lostMs: number;
}

/** A policy of expert placement that sees only the ranks' reports. */
export interface PlacementPolicy {
  readonly name: string;
  readonly cost: PolicyCost;
  /** The active map. */
  readonly map: ExpertMap;
  observe(samples: readonly PopularitySample[]): void;
  tick(nowMs: number): void;
}

/** Inputs that all policies share. */
export interface PolicySetup {
  readonly shape: PlacementShape;
  readonly initial: ExpertMap;
  readonly cfg: RebalanceConfig;
}

interface PendingMap {
  readonly map: ExpertMap;
  readonly activeFromMs: number;
}

/** Never changes the initial map, which is the best one at the start. */
export class StaticPolicy implements PlacementPolicy {
  readonly cost: PolicyCost = {loads: 0, switches: 0, lostMs: 0};
  readonly map: ExpertMap;

  constructor(
    readonly name: string,
    setup: PolicySetup
  ) {
    this.map = setup.initial;
  }

  observe(): void {}

  tick(): void {}
}

abstract class DynamicPolicy implements PlacementPolicy {
  readonly cost: PolicyCost = {loads: 0, switches: 0, lostMs: 0};
  protected readonly estimate: PopularityEstimate;
  protected pending?: PendingMap;

  constructor(
    readonly name: string,
    protected readonly setup: PolicySetup,
    public map = setup.initial
  ) {
    this.estimate = new PopularityEstimate(setup.shape.experts);
  }

  observe(samples: readonly PopularitySample[]): void {
    samples.forEach(sample => this.estimate.add(sample));
  }

  tick(nowMs: number): void {
    if (this.pending && nowMs >= this.pending.activeFromMs) {
      this.map = this.pending.map;
      this.pending = undefined;
    }
    this.decide(nowMs);
  }

  protected abstract decide(nowMs: number): void;

  protected startSwitch(map: ExpertMap, leadMs: number, nowMs: number): void {
    const loads = weightLoadsByRank(this.map, map).reduce((a, b) => a + b, 0);
    this.cost.loads += loads;
    this.cost.switches++;
    this.cost.lostMs += planCostMs(this.setup.cfg, loads);
    this.pending = {map, activeFromMs: nowMs + leadMs};
  }
}

/**
 * Greedy replicate-and-pack from scratch at a fixed interval. The comparison
 * favours it: its loads take no time, and each new row of the map is assigned to
 * the rank that already holds most of its experts.
 */
export class ScratchPolicy extends DynamicPolicy {
  private nextMs = 0;

  constructor(
    name: string,
    setup: PolicySetup,
    private readonly intervalMs: number,
    private readonly split: 'even' | 'best',
    private readonly minGain = 0
  ) {
    super(name, setup);
  }

  protected override decide(nowMs: number): void {
    if (nowMs < this.nextMs || this.pending) return;
    if (!this.estimate.hasSamples) return;
    const popularity = this.estimate.predict(
      nowMs + this.setup.cfg.switchLeadMs
    );
    const packed = placeFromScratch(this.setup.shape, popularity);
    const relabelled = relabelToFewestLoads(this.map, packed);
    const map =
      this.split === 'even'
        ? relabelled
        : withBestShares(relabelled, popularity);
    const gain = mapSkew(this.map, popularity) - mapSkew(map, popularity);
    if (gain <= this.minGain) return;
    this.nextMs = nowMs + this.intervalMs;
    this.startSwitch(map, this.setup.cfg.switchLeadMs, nowMs);
  }
}

interface Loading {
  readonly change: SlotChange;
  readonly readyMs: number;
}

/** The production planner, with a weight store that delivers one expert at a time. */
export class IncrementalPolicy extends DynamicPolicy {
  private readonly planner: RebalancePlanner;
  private loading: readonly Loading[] = [];

  constructor(name: string, setup: PolicySetup, forecast?: PopularityForecast) {
    super(name, setup);
    const {cfg, shape} = setup;
    this.planner = new RebalancePlanner(cfg, shape.experts, forecast);
  }

  override observe(samples: readonly PopularitySample[]): void {
    samples.forEach(sample => this.planner.observe(sample));
  }

  protected override decide(nowMs: number): void {
    const {planner} = this;
    const done = this.loading.filter(item => item.readyMs <= nowMs);
    this.loading = this.loading.filter(item => item.readyMs > nowMs);
    done.forEach(({change}) => planner.loaded(change));
    const {switchTo, stage} = planner.next(this.map, this.pending?.map, nowMs);
    if (switchTo)
      this.startSwitch(switchTo, this.setup.cfg.switchLeadMs, nowMs);
    const loadMs = loadTimeMs(this.setup.cfg, 1);
    stage?.forEach(change => {
      // The store delivers experts one after the other.
      const freeMs = Math.max(nowMs, this.loading.at(-1)?.readyMs ?? 0);
      const readyMs = freeMs + loadMs;
      this.loading = [...this.loading, {change, readyMs}];
    });
  }
}
