/** The ways of placing experts that the measures of placement compare. */

import type {ExpertMap} from '../../src/core/mapMessages';
import type {PlacementShape, SlotChange} from '../../src/policy/placement';
import {loadsNeeded, mapSkew} from '../../src/policy/placement';
import {
  placeFromScratch,
  relabelToFewestLoads,
} from '../../src/policy/placementGreedy';
import {withBestShares} from '../../src/policy/placementSplit';
import {withChanges} from '../../src/policy/rebalance';
import type {PopularitySample} from '../../src/policy/popularity';
import {PopularityEstimate} from '../../src/policy/popularity';
import type {RebalanceConfig} from '../../src/policy/rebalanceDecision';
import {
  decideLoads,
  decideSplit,
  loadTimeMs,
  planCostMs,
} from '../../src/policy/rebalanceDecision';

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

/** Time from the decision to the switch, beyond loading: two rounds, a barrier. */
export const SWITCH_LEAD_MS = 250;

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
    if (this.estimate.known) this.decide(nowMs);
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
    const popularity = this.estimate.predict(nowMs + SWITCH_LEAD_MS);
    const packed = placeFromScratch(this.setup.shape, popularity);
    const relabelled = relabelToFewestLoads(this.map, packed);
    const map =
      this.split === 'even'
        ? relabelled
        : withBestShares(relabelled, popularity);
    const gain = mapSkew(this.map, popularity) - mapSkew(map, popularity);
    if (gain <= this.minGain) return;
    this.nextMs = nowMs + this.everyMs;
    this.start(map, SWITCH_LEAD_MS, nowMs);
  }
}

interface Staging {
  readonly changes: readonly SlotChange[];
  readonly readyMs: number;
}

/** The policy that ships. */
export class IncrementalPolicy extends DynamicPolicy {
  private staged: readonly Staging[] = [];

  protected override decide(nowMs: number): void {
    const popularity = this.estimate.predict(nowMs + SWITCH_LEAD_MS);
    if (this.pending === undefined) this.switchMaps(popularity, nowMs);
    const storeFreeMs = this.staged.at(-1)?.readyMs ?? 0;
    if (storeFreeMs > nowMs) return;
    const loadedMs =
      nowMs + loadTimeMs(this.setup.cfg, this.setup.cfg.maxLoads);
    const then = this.estimate.predict(loadedMs + SWITCH_LEAD_MS);
    this.stageNext(then, nowMs);
  }

  private switchMaps(popularity: readonly number[], nowMs: number): void {
    const ready = this.staged.filter(item => item.readyMs <= nowMs);
    this.staged = this.staged.filter(item => item.readyMs > nowMs);
    const changes = ready.flatMap(item => item.changes);
    const map =
      changes.length > 0
        ? withChanges(this.map, changes, popularity)
        : decideSplit(this.setup.cfg, this.map, popularity);
    if (map) this.start(map, SWITCH_LEAD_MS, nowMs);
  }

  private stageNext(popularity: readonly number[], nowMs: number): void {
    const {cfg} = this.setup;
    const changes = this.staged.flatMap(item => item.changes);
    const base = this.pending?.map ?? this.map;
    const expected = withChanges(base, changes, popularity);
    const next = decideLoads(cfg, expected, popularity);
    if (next.length === 0) return;
    const readyMs = nowMs + loadTimeMs(cfg, next.length);
    this.staged = [...this.staged, {changes: next, readyMs}];
  }
}
