/**
 * Decides whether a new map is worth its cost: the pass time it saves until the
 * next map, against the pass time lost by the switch and by loading weights. A
 * new split alone loads no weights and has its own threshold.
 */

import type {ExpertMap} from '../core/mapMessages';
import type {Popularity} from './placement';
import {mapSkew} from './placement';
import type {Move} from './rebalanceSearch';
import {planRebalance} from './rebalanceSearch';
import type {Splitting} from './placementSplit';
import {withBestShares} from './placementSplit';

/** Costs and thresholds of one group. */
export interface RebalanceConfig {
  readonly splitting: Splitting;
  /** Bytes of one expert of one layer. */
  readonly expertBytes: number;
  /** Bandwidth of the weight store for this group, bytes per second. */
  readonly storeBytesPerSecond: number;
  readonly maxLoadsPerRank: number;
  /**
   * Maximum number of weight loads of one plan. Few, because popularity drifts
   * while they are in progress.
   */
  readonly maxLoads: number;
  /** The same for a plan that consists of one compound move. */
  readonly maxCompoundLoads: number;
  /** Ratio of pass time that the group loses while one expert loads, 0 to 1. */
  readonly loadSlowdown: number;
  /** Pass time lost by one map switch, milliseconds. */
  readonly switchPauseMs: number;
  /** Time from a decision to the switch: two message rounds, the log, some passes. */
  readonly switchLeadMs: number;
  /** Period over which new slots are expected to pay off. */
  readonly slotsHorizonMs: number;
  /** Period over which a new split is expected to pay off. */
  readonly splitHorizonMs: number;
  /** Minimum decrease of the skew for new slots. */
  readonly minSlotsGain: number;
  /** Minimum decrease of the skew for a new split alone. */
  readonly minSplitGain: number;
}

/** Defaults for one layer of a group; docs/DESIGN.md has the measurements. */
export const REBALANCE_DEFAULTS: RebalanceConfig = {
  splitting: 'weighted',
  expertBytes: 44_000_000,
  storeBytesPerSecond: 40_000_000,
  maxLoadsPerRank: 1,
  maxLoads: 2,
  maxCompoundLoads: 3,
  loadSlowdown: 0.005,
  switchPauseMs: 5,
  switchLeadMs: 250,
  slotsHorizonMs: 60_000,
  splitHorizonMs: 5_000,
  minSlotsGain: 0.0015,
  minSplitGain: 0.005,
};

/** Time to load a number of experts one after the other from the store. */
export function loadTimeMs(cfg: RebalanceConfig, loads: number): number {
  return (loads * cfg.expertBytes * 1000) / cfg.storeBytesPerSecond;
}

/** Pass time lost by weight loads and one switch, milliseconds. */
export function planCostMs(cfg: RebalanceConfig, loads: number): number {
  return cfg.switchPauseMs + loadTimeMs(cfg, loads) * cfg.loadSlowdown;
}

/**
 * The current slots with new shares if these are worth a switch; no weights are
 * loaded. `popularity` is the forecast for the time when the map becomes active.
 */
export function decideSplit(
  cfg: RebalanceConfig,
  current: ExpertMap,
  popularity: Popularity
): ExpertMap | undefined {
  const best = withBestShares(current, popularity, cfg.splitting);
  const gain = mapSkew(current, popularity) - mapSkew(best, popularity);
  if (gain < cfg.minSplitGain) return undefined;
  if (gain * cfg.splitHorizonMs <= cfg.switchPauseMs) return undefined;
  return best;
}

/**
 * Next moves if these are worth their cost. Their weights are loaded beside the
 * active map, which is switched once they are present. `expected` is the map
 * after all earlier loads.
 */
export function decideLoads(
  cfg: RebalanceConfig,
  expected: ExpertMap,
  popularity: Popularity
): readonly Move[] {
  const limits = {
    maxLoads: cfg.maxLoads,
    maxCompoundLoads: cfg.maxCompoundLoads,
    maxLoadsPerRank: cfg.maxLoadsPerRank,
    minGainPerLoad: minGainPerLoad(cfg),
  };
  const plan = planRebalance(expected, popularity, limits, cfg.splitting);
  const gain = plan.skewBestSplit - plan.skewAfter;
  // The threshold exceeds the noise of the estimate. Otherwise experts would be
  // moved back and forth by noise without ever paying off their loads.
  if (gain < cfg.minSlotsGain) return [];
  const savedMs = gain * cfg.slotsHorizonMs;
  const loads = plan.moves.flat().length;
  return savedMs > planCostMs(cfg, loads) ? plan.moves : [];
}

/** Gain at which a single load pays off within the horizon. */
function minGainPerLoad(cfg: RebalanceConfig): number {
  return (loadTimeMs(cfg, 1) * cfg.loadSlowdown) / cfg.slotsHorizonMs;
}
