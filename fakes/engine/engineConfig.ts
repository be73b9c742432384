/** Settings of a fake engine. */

/** Times in milliseconds. */
export interface EngineConfig {
  readonly port: number;
  readonly model: string;
  readonly modelVersion: string;
  readonly role: 'mixed' | 'prefill' | 'decode';
  /** Duration of one step, in which each prefilled request gains a token. */
  readonly stepMs: number;
  /** Maximum number of running requests; more wait inside the engine. */
  readonly batchSize: number;
  /** Prompt tokens that one step can prefill, over all requests. */
  readonly prefillPerStep: number;
  /** Output tokens of a request without `max_tokens`. */
  readonly defaultTokens: number;
  /** Capacity of the prefix cache in blocks. */
  readonly cacheBlocks: number;
  readonly cacheEventLagMs: number;
  /** Every n-th cache event is lost; 0 loses none. */
  readonly loseEveryNthCacheEvent: number;
  /** Minimum interval between two measurements of the reported load. */
  readonly reportLagMs: number;
  readonly startCold: boolean;
  /** Concurrent requests that a cold engine can take. */
  readonly coldCapacity: number;
  /** Concurrent requests that a warm engine can take, running and waiting. */
  readonly warmCapacity: number;
  /** Time under load until a cold engine is warm. */
  readonly warmupMs: number;
  /** Time from a crash to the next boot. */
  readonly restartMs: number;
  /** Time to load a model or a model version. */
  readonly loadMs: number;
  readonly cancelOnDisconnect: boolean;
  /** Content-Length that streams state, whatever their length; 0 states none. */
  readonly statedStreamBytes: number;
  readonly refuseOldFences: boolean;
  /** Number of experts; 0 for a dense model. */
  readonly experts: number;
  readonly group?: string;
  readonly rank: number;
  /** Number of ranks in the group. */
  readonly ranks: number;
  /** Expert slots of the group beyond one per expert. */
  readonly spareSlots: number;
  /** A rank that starts runs no step until an expert map is committed. */
  readonly needsMap: boolean;
  /** `http://host:port` of the weight store; if absent, loads fetch nothing. */
  readonly weightStore?: string;
  /** File that gets a JSON line for each run and each overload crash; no file if absent. */
  readonly record?: string;
}

/** A warm engine of a dense model with short steps. */
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
  statedStreamBytes: 0,
  experts: 0,
  rank: 0,
  ranks: 1,
  spareSlots: 0,
  needsMap: false,
};
