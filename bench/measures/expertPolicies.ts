/** The ways of placing experts that the measures of placement compare. */

import type {ExpertMap} from '../../src/core/mapMessages';
import type {PlacementShape, SlotChange} from '../../src/policy/placement';
import {loadsNeeded, mapSkew} from '../../src/policy/placement';
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

/** What a policy has cost so far. */
export interface PolicyCost {
  loads: number;
  switches: number;
  /** Step time lost by loading and switching. */
  lostMs: number;
}

/** One way of placing experts, driven by reports alone. */
export interface PlacementPolicy {
  readonly name: string;
  readonly cost: PolicyCost;
  /** The map in force. */
  readonly map: ExpertMap;
  observe(samples: readonly PopularitySample[]): void;
  tick(nowMs: number): void;
}

/** What every policy needs. */
export interface PolicySetup {
  readonly shape: PlacementShape;
  readonly initial: ExpertMap;
  readonly cfg: RebalanceConfig;
}

interface PendingMap {
  readonly map: ExpertMap;
  readonly inForceMs: number;
}

/** Keeps the map that was best at the start. */
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
    if (this.pending && nowMs >= this.pending.inForceMs) {
      this.map = this.pending.map;
      this.pending = undefined;
    }
    this.decide(nowMs);
  }

  protected abstract decide(nowMs: number): void;

  protected start(map: ExpertMap, leadMs: number, nowMs: number): void {
    const loads = loadsNeeded(this.map, map).reduce((a, b) => a + b, 0);
    this.cost.loads += loads;
    this.cost.switches++;
    this.cost.lostMs += planCostMs(this.setup.cfg, loads);
    this.pending = {map, inForceMs: nowMs + leadMs};
  }
}

/**
 * Greedy replicate-and-pack from scratch at a fixed interval. It is favoured:
 * its loads take no time, and rows go to the ranks that hold most of them.
 */
export class ScratchPolicy extends DynamicPolicy {
  private nextMs = 0;

  constructor(
    name: string,
    setup: PolicySetup,
    private readonly everyMs: number,
    private readonly split: 'even' | 'best',
    private readonly minGain = 0
  ) {
    super(name, setup);
  }

  protected override decide(nowMs: number): void {
    if (nowMs < this.nextMs || this.pending) return;
    if (!this.estimate.known) return;
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
    this.nextMs = nowMs + this.everyMs;
    this.start(map, this.setup.cfg.switchLeadMs, nowMs);
  }
}

interface Loading {
  readonly change: SlotChange;
  readonly readyMs: number;
}

/** The policy that ships, with a store that delivers one expert at a time. */
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
    if (switchTo) this.start(switchTo, this.setup.cfg.switchLeadMs, nowMs);
    const loadMs = loadTimeMs(this.setup.cfg, 1);
    stage?.forEach(change => {
      // The store delivers one after the other.
      const freeMs = Math.max(nowMs, this.loading.at(-1)?.readyMs ?? 0);
      const readyMs = freeMs + loadMs;
      this.loading = [...this.loading, {change, readyMs}];
    });
  }
}
