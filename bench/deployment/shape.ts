/** What a deployment consists of. */

/** A pool of like targets, spread over the zones in turn. */
export interface PoolShape {
  readonly pool: string;
  readonly kind: 'engine' | 'service';
  readonly count: number;
  /** Arguments of the fake, such as `--step-ms 5`. */
  readonly fakeArgs: readonly string[];
  /** Ranks of one group in lock-step; `count` of them, in one fake. */
  readonly group?: string;
  /** All agents stand before one fake, to spare the machine. */
  readonly sharedFake?: boolean;
}

/** A whole deployment on one machine. */
export interface DeploymentShape {
  readonly zones: readonly string[];
  readonly controls: number;
  readonly entries: number;
  readonly pools: readonly PoolShape[];
  /** Extra settings of every agent's `[target]`, lines of INI. */
  readonly agentTargetLines?: readonly string[];
  /** Extra settings of every entry's `[callers]`. */
  readonly callersLines?: readonly string[];
  /** Lame duck time of entries, milliseconds. */
  readonly drainMs?: number;
  readonly logLevel?: string;
  /** UDP port on this machine that the counters of all roles go to. */
  readonly metricsPort?: number;
  /** Names of processes that `Deployment.cut` parts from the rest of control. */
  readonly island?: readonly string[];
  /**
   * Every process reaches control, and every entry each agent, through a relay
   * of its own (`Deployment.links`); fakes record what they ran in files.
   */
  readonly linked?: boolean;
}

/** As much as a test of failures needs. */
export const SMALL: DeploymentShape = {
  zones: ['zone-a', 'zone-b'],
  controls: 3,
  entries: 2,
  pools: [
    {pool: 'planner', kind: 'engine', count: 4, fakeArgs: ['--step-ms', '5']},
    {pool: 'allocation', kind: 'service', count: 2, fakeArgs: []},
  ],
};

/** Pool of twelve model workers and three allocation workers. */
export const SHANNONSIDE: DeploymentShape = {
  zones: ['quay-a', 'quay-b', 'quay-c'],
  controls: 3,
  entries: 2,
  pools: [
    {pool: 'planner', kind: 'engine', count: 12, fakeArgs: ['--step-ms', '5']},
    {pool: 'allocation', kind: 'service', count: 3, fakeArgs: []},
  ],
};
