/** The state of one boot of a fake engine, and the counters over all boots. */

import {randomUUID} from 'node:crypto';
import {Batch} from './batch';
import {ColdStart} from './coldStart';
import type {EngineConfig} from './engineConfig';
import {ExpertRouter} from './expertRouter';
import {PrefixCache} from './prefixCache';
import {RankState} from './rankState';

/** The load as last measured. */
interface MeasuredLoad {
  readonly running: number;
  readonly waiting: number;
  readonly tokensInWork: number;
  readonly reportedAtMs: number;
}

/** A fault that tests inject at one token of the next streams. */
export interface StreamFault {
  readonly kind: 'cutAtToken' | 'endAtToken' | 'repeatToken' | 'stallAtToken';
  readonly token: number;
  /** Number of streams that the fault still applies to. */
  times: number;
}

/** Counters over all boots, reported by `/fake/state`. */
export class EngineCounters {
  readonly runsByRequest: Record<string, number> = {};
  readonly resumedFrom: Record<string, number[]> = {};
  cancelled = 0;
  disconnected = 0;
  finished = 0;
  tokens = 0;
  boots = 0;
  overloads = 0;
  /** Above 1, a cold boot got more requests than it could take. */
  worstColdRatio = 0;
  maxConcurrent = 0;
  readonly orders: {readonly order: unknown; readonly answer: string}[] = [];
}

/** One boot of the engine. */
export class EngineState {
  readonly bootId = randomUUID();
  readonly batch: Batch;
  readonly cache: PrefixCache;
  readonly cold: ColdStart;
  readonly rank = new RankState();
  readonly experts: ExpertRouter;
  readonly adapters: string[] = [];
  model: string;
  modelVersion: string;
  role: EngineConfig['role'];
  highestFence = 0;
  loadingUntilMs = 0;
  /** No step runs before this time. */
  stalledUntilMs = 0;
  private load: MeasuredLoad;

  constructor(
    private readonly cfg: EngineConfig,
    startCold: boolean,
    nowMs: number
  ) {
    this.batch = new Batch(cfg);
    this.cache = new PrefixCache(cfg);
    this.cold = new ColdStart({...cfg, startCold}, nowMs);
    this.experts = new ExpertRouter(cfg.experts);
    this.model = cfg.model;
    this.modelVersion = cfg.modelVersion;
    this.role = cfg.role;
    this.load = this.measure(nowMs);
  }

  status(nowMs: number, cacheSince: number): unknown {
    if (nowMs - this.load.reportedAtMs >= this.cfg.reportLagMs)
      this.load = this.measure(nowMs);
    return {
      bootId: this.bootId,
      state: nowMs < this.loadingUntilMs ? 'loading' : 'ready',
      cold: this.cold.claimsCold(nowMs),
      nowMs,
      load: this.load,
      model: this.model,
      modelVersion: this.modelVersion,
      role: this.role,
      adapters: this.adapters,
      group: this.groupStatus(),
      expertTokens: this.cfg.experts > 0 ? this.experts.counts : undefined,
      cacheEvents: this.cache.eventsSince(cacheSince, nowMs),
    };
  }

  private groupStatus(): unknown {
    if (this.cfg.group === undefined) return undefined;
    return {
      id: this.cfg.group,
      rank: this.cfg.rank,
      ranks: this.cfg.ranks,
      experts: Math.max(1, this.cfg.experts),
      slots: Math.max(1, this.cfg.experts) + this.cfg.spareSlots,
      step: this.rank.step,
      mapVersion: this.rank.mapVersion,
      preparedVersion: this.rank.prepared?.version,
      holding: this.rank.holding,
    };
  }

  private measure(nowMs: number): MeasuredLoad {
    return {
      running: this.batch.runningCount,
      waiting: this.batch.waitingCount,
      tokensInWork: this.batch.tokensInWork(),
      reportedAtMs: nowMs,
    };
  }
}
