/**
 * Whether a new map pays: what it saves until the next one against what the
 * switch and the loading of weights cost. Changes of the split alone move no
 * bytes and have a threshold of their own.
 */

import type {ExpertMap} from '../core/mapMessages';
import type {Popularity} from './placement';
import type {RebalancePlan} from './rebalance';
import {planRebalance} from './rebalance';
import {withBestShares} from './placementSplit';

/** Costs and thresholds of one group. */
export interface RebalanceConfig {
  /** Bytes of one expert of one layer. */
  readonly expertBytes: number;
  /** Bytes a second that the weight store grants the group. */
  readonly storeBytesPerSecond: number;
  readonly maxLoadsPerRank: number;
  /** Most loads of one plan, so that popularity has not drifted meanwhile. */
  readonly maxLoads: number;
  /** Step time lost by the group while one expert loads, 0 to 1. */
  readonly loadSlowdown: number;
  /** Step time lost by one switch of maps, milliseconds. */
  readonly switchPauseMs: number;
  /** Time over which the gain of a change of slots is expected. */
  readonly slotsHorizonMs: number;
  /** Time over which the gain of a change of the split is expected. */
  readonly splitHorizonMs: number;
  /** Least fall of the skew that starts a change of slots. */
  readonly minSlotsGain: number;
  /** Least fall of the skew that starts a change of the split alone. */
  readonly minSplitGain: number;
  /** Least time between two changes of slots. */
  readonly minSlotsIntervalMs: number;
}

/** What to do now. */
export type RebalanceDecision =
  | {readonly kind: 'keep'}
  /** No bytes move. */
  | {readonly kind: 'split'; readonly map: ExpertMap}
  | {
      readonly kind: 'slots';
      readonly map: ExpertMap;
      readonly loads: number;
      readonly loadMs: number;
    };

/** Experts that the weight store can deliver, as a token bucket. */
export class LoadBudget {
  private loads: number;
  private lastMs?: number;

  constructor(
    private readonly cfg: Pick<
      RebalanceConfig,
      'expertBytes' | 'storeBytesPerSecond' | 'maxLoads'
    >
  ) {
    this.loads = cfg.maxLoads;
  }

  /** Whole experts that may be loaded now. */
  available(nowMs: number): number {
    const perMs = this.cfg.storeBytesPerSecond / this.cfg.expertBytes / 1000;
    const since = Math.max(0, nowMs - (this.lastMs ?? nowMs));
    this.loads = Math.min(this.cfg.maxLoads, this.loads + since * perMs);
    this.lastMs = Math.max(nowMs, this.lastMs ?? nowMs);
    return Math.floor(this.loads);
  }

  spend(loads: number): void {
    this.loads -= loads;
  }
}

/** Time to load so many experts one after the other from the store. */
export function loadTimeMs(cfg: RebalanceConfig, loads: number): number {
  return (loads * cfg.expertBytes * 1000) / cfg.storeBytesPerSecond;
}

/** Step time lost by loading and switching, milliseconds. */
export function planCostMs(cfg: RebalanceConfig, loads: number): number {
  return cfg.switchPauseMs + loadTimeMs(cfg, loads) * cfg.loadSlowdown;
}

/** Decides for one group; keeps what hysteresis needs. */
export class RebalanceDecider {
  private readonly budget: LoadBudget;
  private slotsChangedMs = -Infinity;

  constructor(private readonly cfg: RebalanceConfig) {
    this.budget = new LoadBudget(cfg);
  }

  /** `popularity` is the one expected when the map would be in force. */
  decide(
    current: ExpertMap,
    popularity: Popularity,
    nowMs: number
  ): RebalanceDecision {
    const plan = planRebalance(current, popularity, {
      maxLoads: this.loadsAllowed(nowMs),
      maxLoadsPerRank: this.cfg.maxLoadsPerRank,
      minGainPerLoad: this.minGainPerLoad(),
    });
    if (this.slotsPay(plan)) return this.changeSlots(plan, nowMs);
    if (!this.splitPays(plan)) return {kind: 'keep'};
    return {kind: 'split', map: withBestShares(current, popularity)};
  }

  private changeSlots(plan: RebalancePlan, nowMs: number): RebalanceDecision {
    this.budget.spend(plan.loads);
    this.slotsChangedMs = nowMs;
    const loadMs = loadTimeMs(this.cfg, plan.loads);
    return {kind: 'slots', map: plan.map, loads: plan.loads, loadMs};
  }

  private loadsAllowed(nowMs: number): number {
    const available = this.budget.available(nowMs);
    if (nowMs - this.slotsChangedMs < this.cfg.minSlotsIntervalMs) return 0;
    return available;
  }

  /** A load must earn its own cost within the horizon. */
  private minGainPerLoad(): number {
    const costMs = loadTimeMs(this.cfg, 1) * this.cfg.loadSlowdown;
    return costMs / this.cfg.slotsHorizonMs;
  }

  private slotsPay(plan: RebalancePlan): boolean {
    if (plan.loads === 0) return false;
    const gain = plan.skewSplit - plan.skewAfter;
    const savedMs = gain * this.cfg.slotsHorizonMs;
    // The threshold stands above the noise of the estimate: without it, maps
    // would follow the noise to and fro and never earn back the bytes moved.
    if (gain < this.cfg.minSlotsGain) return false;
    return savedMs > planCostMs(this.cfg, plan.loads);
  }

  private splitPays(plan: RebalancePlan): boolean {
    const gain = plan.skewNow - plan.skewSplit;
    const savedMs = gain * this.cfg.splitHorizonMs;
    if (gain < this.cfg.minSplitGain) return false;
    return savedMs > this.cfg.switchPauseMs;
  }
}
