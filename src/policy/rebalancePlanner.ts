/**
 * Plans the rebalancing of one group of ranks. From popularity samples it
 * decides which weights to load beside the active map and which map to switch
 * to. The controller and the bench both use it.
 */

import type {ExpertMap} from '../core/mapMessages';
import type {SlotChange} from './placement';
import {mapSkew} from './placement';
import type {PopularityForecast, PopularitySample} from './popularity';
import {PopularityEstimate} from './popularity';
import {withChanges} from './rebalanceSearch';
import type {RebalanceConfig} from './rebalanceDecision';
import {decideLoads, decideSplit, loadTimeMs} from './rebalanceDecision';

/** Actions to take now; both may be absent. */
export interface RebalanceActions {
  /** Weights to load; the caller reports each by `loaded` or `failed`. */
  readonly stage?: readonly SlotChange[];
  /** Map to switch to. */
  readonly switchTo?: ExpertMap;
}

/** A move whose weights are being loaded, or wait for the switch. */
interface StagedMove {
  readonly changes: readonly SlotChange[];
  /** Changes whose weights are not loaded yet. */
  readonly missing: readonly SlotChange[];
  readonly deadlineMs: number;
}

/** Loads are abandoned after this multiple of their expected duration. */
const LOAD_TIMEOUT_FACTOR = 10;

/** Tracks weight loads in progress and the popularity estimate. */
export class RebalancePlanner {
  private staging: readonly StagedMove[] = [];

  constructor(
    private readonly cfg: RebalanceConfig,
    experts: number,
    private readonly estimate: PopularityForecast = new PopularityEstimate(
      experts
    )
  ) {}

  observe(sample: PopularitySample): void {
    this.estimate.add(sample);
  }

  /** Reports that a rank loaded the weights of a slot change. */
  loaded(change: SlotChange): void {
    this.staging = this.staging.map(item => ({
      ...item,
      missing: item.missing.filter(other => !sameChange(other, change)),
    }));
  }

  /** Reports a failed load: drops the change and the rest of its move. */
  failed(change: SlotChange): void {
    this.staging = this.staging.filter(
      item => !item.missing.some(other => sameChange(other, change))
    );
  }

  /** Reports that a rank restarted: drops all moves with loads on that rank. */
  restarted(rank: number): void {
    this.staging = this.staging.filter(
      item => !item.changes.some(change => change.rank === rank)
    );
  }

  /** Drops all staged moves; another map may have become active. */
  reset(): void {
    this.staging = [];
  }

  /**
   * Returns the actions to take now. `pending` is the map of a switch in
   * progress. `minGain` is the minimum decrease of the skew for which operators
   * accept loads; 0 applies the default.
   */
  next(
    current: ExpertMap,
    pending: ExpertMap | undefined,
    nowMs: number,
    minGain = 0
  ) {
    if (!this.estimate.hasSamples) return {};
    this.staging = this.staging.filter(item => nowMs < item.deadlineMs);
    const switchTo = pending ? undefined : this.switchTo(current, nowMs);
    const base = switchTo ?? pending ?? current;
    const stage = this.stage(base, nowMs, minGain);
    return {switchTo, stage} satisfies RebalanceActions;
  }

  private switchTo(current: ExpertMap, nowMs: number): ExpertMap | undefined {
    const activeAtMs = nowMs + this.cfg.switchLeadMs;
    const popularity = this.estimate.predict(activeAtMs);
    const ready = this.staging.filter(item => item.missing.length === 0);
    if (ready.length === 0) return decideSplit(this.cfg, current, popularity);
    const changes = ready.flatMap(item => item.changes);
    const next = withChanges(current, changes, popularity, this.cfg.splitting);
    const missing = this.staging.filter(item => item.missing.length > 0);
    // A move may remove a replica that a later move of the batch compensates for.
    // Switching in between would leave the group without it for the duration of
    // a load: one such second had a skew of 1.16 after 1.09.
    const worse = mapSkew(next, popularity) > mapSkew(current, popularity);
    if (worse && missing.length > 0)
      return decideSplit(this.cfg, current, popularity);
    this.staging = missing;
    return next;
  }

  /** Starts one batch at a time: the store delivers one expert after the other. */
  private stage(
    base: ExpertMap,
    nowMs: number,
    minGain: number
  ): readonly SlotChange[] | undefined {
    if (this.staging.some(item => item.missing.length > 0)) return undefined;
    const {cfg} = this;
    const loadMs = loadTimeMs(cfg, cfg.maxLoads);
    const activeAtMs = nowMs + loadMs + cfg.switchLeadMs;
    const popularity = this.estimate.predict(activeAtMs);
    const earlier = this.staging.flatMap(item => item.changes);
    const expected = withChanges(base, earlier, popularity, cfg.splitting);
    const minSlotsGain = Math.max(cfg.minSlotsGain, minGain);
    const moves = decideLoads({...cfg, minSlotsGain}, expected, popularity);
    if (moves.length === 0) return undefined;
    const loads = moves.flat();
    const deadlineMs =
      nowMs + LOAD_TIMEOUT_FACTOR * loadTimeMs(cfg, loads.length);
    // Each move is applied as soon as its own weights are loaded.
    const next = moves.map(changes => ({
      changes,
      missing: changes,
      deadlineMs,
    }));
    this.staging = [...this.staging, ...next];
    return loads;
  }
}

function sameChange(a: SlotChange, b: SlotChange): boolean {
  return a.rank === b.rank && a.slot === b.slot && a.expert === b.expert;
}
