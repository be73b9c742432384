/** The processes of a deployment and their settings. */

/** A pool of identical targets, spread over the zones in turn. */
export interface PoolShape {
  readonly pool: string;
  readonly kind: 'engine' | 'service';
  readonly count: number;
  /** Arguments of the fake, such as `--step-ms 5`. */
  readonly fakeArgs: readonly string[];
  /** Makes the targets `count` ranks of one group in lock-step, run by one fake. */
  readonly group?: string;
  /** All agents share one fake, to save processes. */
  readonly sharedFake?: boolean;
}

/** A whole deployment on one machine. */
export interface DeploymentShape {
  readonly zones: readonly string[];
  readonly controls: number;
  readonly entries: number;
  readonly pools: readonly PoolShape[];
  /** Extra INI lines in the `[target]` section of every agent. */
  readonly agentTargetLines?: readonly string[];
  /** Extra INI lines in the `[callers]` section of every entry. */
  readonly callersLines?: readonly string[];
  /** Setting `drain-ms` of every entry. */
  readonly drainMs?: number;
  readonly logLevel?: string;
  /** UDP port on this machine that receives the counters of all processes. */
  readonly metricsPort?: number;
  /** Names of the processes that `Deployment.cut` separates from the rest. */
  readonly isolatedProcesses?: readonly string[];
  /**
   * Every process reaches each control instance, and every entry each agent,
   * through its own relay (`Deployment.links`). Fakes record what they ran in files.
   */
  readonly usesRelays?: boolean;
}

/** A small deployment for tests of failures. */
export const SMALL: DeploymentShape = {
  zones: ['zone-a', 'zone-b'],
  controls: 3,
  entries: 2,
  pools: [
    {pool: 'planner', kind: 'engine', count: 4, fakeArgs: ['--step-ms', '5']},
    {pool: 'allocation', kind: 'service', count: 2, fakeArgs: []},
  ],
};

/** A pool of twelve engines and a pool of three allocation services. */
export const SHANNONSIDE: DeploymentShape = {
  zones: ['quay-a', 'quay-b', 'quay-c'],
  controls: 3,
  entries: 2,
  pools: [
    {pool: 'planner', kind: 'engine', count: 12, fakeArgs: ['--step-ms', '5']},
    {pool: 'allocation', kind: 'service', count: 3, fakeArgs: []},
  ],
};
