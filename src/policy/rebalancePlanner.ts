/**
 * Plans for one group of ranks: takes reports of popularity, says which weights
 * to load beside the map in force and which map to switch to. The bench and
 * the controller both run this.
 */

import type {ExpertMap} from '../core/mapMessages';
import type {SlotChange} from './placement';
import type {PopularitySample} from './popularity';
import {PopularityEstimate} from './popularity';
import {withChanges} from './rebalance';
import type {RebalanceConfig} from './rebalanceDecision';
import {decideLoads, decideSplit, loadTimeMs} from './rebalanceDecision';

/** What to do now; both may be absent. */
export interface RebalanceStep {
  /** Weights to load; `loaded` is to be called for each. */
  readonly stage?: readonly SlotChange[];
  /** Map to switch to now. */
  readonly switchTo?: ExpertMap;
}

interface Staging {
  readonly changes: readonly SlotChange[];
  readonly missing: readonly SlotChange[];
  readonly giveUpMs: number;
}

/** Loads that take this many times as long as expected are given up. */
const GIVE_UP_FACTOR = 10;

/** Keeps what is being loaded and what is known of popularity. */
export class RebalancePlanner {
  private readonly estimate: PopularityEstimate;
  private staging: readonly Staging[] = [];

  constructor(
    private readonly cfg: RebalanceConfig,
    experts: number
  ) {
    this.estimate = new PopularityEstimate(experts);
  }

  observe(sample: PopularitySample): void {
    this.estimate.add(sample);
  }

  /** A rank has the weights of a slot change. */
  loaded(change: SlotChange): void {
    this.staging = this.staging.map(item => ({
      ...item,
      missing: item.missing.filter(other => !sameChange(other, change)),
    }));
  }

  /** The load failed: the change is dropped, with those that belong to it. */
  failed(change: SlotChange): void {
    this.staging = this.staging.filter(
      item => !item.missing.some(other => sameChange(other, change))
    );
  }

  /** A rank has restarted: loads for it are lost, with those that need them. */
  restarted(rank: number): void {
    this.staging = this.staging.filter(
      item => !item.changes.some(change => change.rank === rank)
    );
  }

  /** Forgets loads under way; another map has come into force meanwhile. */
  reset(): void {
    this.staging = [];
  }

  /**
   * `pending` is the map of a switch under way; `minGain` is the least fall of
   * the skew that operators want a load for, 0 to leave it to the defaults.
   */
  next(
    current: ExpertMap,
    pending: ExpertMap | undefined,
    nowMs: number,
    minGain = 0
  ) {
    if (!this.estimate.known) return {};
    this.staging = this.staging.filter(item => nowMs < item.giveUpMs);
    const switchTo = pending ? undefined : this.switchTo(current, nowMs);
    const base = switchTo ?? pending ?? current;
    const stage = this.stage(base, nowMs, minGain);
    return {switchTo, stage} satisfies RebalanceStep;
  }

  private switchTo(current: ExpertMap, nowMs: number): ExpertMap | undefined {
    const inForceMs = nowMs + this.cfg.switchLeadMs;
    const popularity = this.estimate.predict(inForceMs);
    const ready = this.staging.filter(item => item.missing.length === 0);
    if (ready.length === 0) return decideSplit(this.cfg, current, popularity);
    this.staging = this.staging.filter(item => item.missing.length > 0);
    const changes = ready.flatMap(item => item.changes);
    return withChanges(current, changes, popularity, this.cfg.splitting);
  }

  /** One batch at a time: the weight store delivers one after the other. */
  private stage(
    base: ExpertMap,
    nowMs: number,
    minGain: number
  ): readonly SlotChange[] | undefined {
    if (this.staging.some(item => item.missing.length > 0)) return undefined;
    const {cfg} = this;
    const loadMs = loadTimeMs(cfg, cfg.maxLoads);
    const inForceMs = nowMs + loadMs + cfg.switchLeadMs;
    const popularity = this.estimate.predict(inForceMs);
    const earlier = this.staging.flatMap(item => item.changes);
    const expected = withChanges(base, earlier, popularity, cfg.splitting);
    const minSlotsGain = Math.max(cfg.minSlotsGain, minGain);
    const moves = decideLoads({...cfg, minSlotsGain}, expected, popularity);
    if (moves.length === 0) return undefined;
    const loads = moves.flat();
    const giveUpMs = nowMs + GIVE_UP_FACTOR * loadTimeMs(cfg, loads.length);
    // Each move is put in force as soon as its own weights are there.
    const next = moves.map(changes => ({changes, missing: changes, giveUpMs}));
    this.staging = [...this.staging, ...next];
    return loads;
  }
}

function sameChange(a: SlotChange, b: SlotChange): boolean {
  return a.rank === b.rank && a.slot === b.slot && a.expert === b.expert;
}
