/**
 * Whether a new map pays: what it saves until the next one against what the
 * switch and the loading of weights cost. Changes of the split alone move no
 * bytes and have a threshold of their own.
 */

import type {ExpertMap} from '../core/mapMessages';
import type {Popularity} from './placement';
import {mapSkew} from './placement';
import type {Move} from './rebalance';
import {planRebalance} from './rebalance';
import type {Splitting} from './placementSplit';
import {withBestShares} from './placementSplit';

/** Costs and thresholds of one group. */
export interface RebalanceConfig {
  readonly splitting: Splitting;
  /** Bytes of one expert of one layer. */
  readonly expertBytes: number;
  /** Bytes a second that the weight store grants the group. */
  readonly storeBytesPerSecond: number;
  readonly maxLoadsPerRank: number;
  /** Most loads of one plan, so that popularity has not drifted meanwhile. */
  readonly maxLoads: number;
  /** The same where one change needs others to follow. */
  readonly maxCompoundLoads: number;
  /** Step time lost by the group while one expert loads, 0 to 1. */
  readonly loadSlowdown: number;
  /** Step time lost by one switch of maps, milliseconds. */
  readonly switchPauseMs: number;
  /** Time from a decision to the switch: two rounds, the log, some steps. */
  readonly switchLeadMs: number;
  /** Time over which the gain of a change of slots is expected. */
  readonly slotsHorizonMs: number;
  /** Time over which the gain of a change of the split is expected. */
  readonly splitHorizonMs: number;
  /** Least fall of the skew that starts a change of slots. */
  readonly minSlotsGain: number;
  /** Least fall of the skew that starts a change of the split alone. */
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

/** Time to load so many experts one after the other from the store. */
export function loadTimeMs(cfg: RebalanceConfig, loads: number): number {
  return (loads * cfg.expertBytes * 1000) / cfg.storeBytesPerSecond;
}

/** Step time lost by loading and switching, milliseconds. */
export function planCostMs(cfg: RebalanceConfig, loads: number): number {
  return cfg.switchPauseMs + loadTimeMs(cfg, loads) * cfg.loadSlowdown;
}

/**
 * Other shares on the same slots, when they pay; no bytes move. `popularity`
 * is the one expected when the map would be in force.
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
 * Moves to make next, when they pay: beside the map in force, to be switched
 * to once they are there. `expected` is the map with all earlier loads done.
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
  const gain = plan.skewSplit - plan.skewAfter;
  // The threshold stands above the noise of the estimate: without it, slots
  // would follow the noise to and fro and never earn back the bytes moved.
  if (gain < cfg.minSlotsGain) return [];
  const savedMs = gain * cfg.slotsHorizonMs;
  const loads = plan.moves.flat().length;
  return savedMs > planCostMs(cfg, loads) ? plan.moves : [];
}

/** A load must earn its own cost within the horizon. */
function minGainPerLoad(cfg: RebalanceConfig): number {
  return (loadTimeMs(cfg, 1) * cfg.loadSlowdown) / cfg.slotsHorizonMs;
}
