/** Settings of a fake engine. */

/** Times in milliseconds. */
export interface EngineConfig {
  readonly port: number;
  readonly model: string;
  readonly modelVersion: string;
  readonly role: 'mixed' | 'prefill' | 'decode';
  /** Time of one decoding step; each running request gains a token. */
  readonly stepMs: number;
  /** Requests in the batch at once; more wait inside. */
  readonly batchSize: number;
  /** Prompt tokens that a step can prefill, over all requests. */
  readonly prefillPerStep: number;
  /** Output tokens when the request names no maximum. */
  readonly defaultTokens: number;
  /** Prefix blocks that fit the cache. */
  readonly cacheBlocks: number;
  readonly cacheEventLagMs: number;
  /** Every n-th cache event is lost; 0 loses none. */
  readonly loseEveryNthCacheEvent: number;
  /** Load is measured this seldom. */
  readonly reportLagMs: number;
  readonly startCold: boolean;
  /** Requests at once that a cold engine bears. */
  readonly coldCapacity: number;
  /** Requests at once that a warm engine takes, in work and waiting. */
  readonly warmCapacity: number;
  /** Time under load from cold to warm. */
  readonly warmupMs: number;
  /** Time from falling over to the next start. */
  readonly restartMs: number;
  /** Time to load a model, adapter or version. */
  readonly loadMs: number;
  readonly cancelOnDisconnect: boolean;
  readonly refuseOldFences: boolean;
  /** Number of experts; 0 for a dense model. */
  readonly experts: number;
  readonly group?: string;
  readonly rank: number;
  /** Ranks of the group. */
  readonly ranks: number;
  /** Slots beyond one an expert, over the group. */
  readonly spareSlots: number;
  /** A rank that starts runs no step before it was given a map. */
  readonly needsMap: boolean;
  /** `http://host:port` of the weight store; loads need none when absent. */
  readonly weightStore?: string;
  /** File for a JSON line of each run and each fall; none when absent. */
  readonly record?: string;
}

/** A warm, dense, fast engine. */
export const ENGINE_DEFAULTS: EngineConfig = {
  port: 0,
  model: 'planner',
  modelVersion: 'v1',
  role: 'mixed',
  stepMs: 5,
  batchSize: 32,
  prefillPerStep: 2048,
  defaultTokens: 16,
  cacheBlocks: 4096,
  cacheEventLagMs: 200,
  loseEveryNthCacheEvent: 0,
  reportLagMs: 200,
  startCold: false,
  coldCapacity: 2,
  warmCapacity: 256,
  warmupMs: 5000,
  restartMs: 500,
  loadMs: 0,
  cancelOnDisconnect: true,
  refuseOldFences: true,
  experts: 0,
  rank: 0,
  ranks: 1,
  spareSlots: 0,
  needsMap: false,
};
