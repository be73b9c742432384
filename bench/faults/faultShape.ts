/** The deployment that pairs of faults run on. */

import type {DeploymentShape} from '../deployment/shape';

/** Engines start cold, and their cold capacity is the start limit of the rules' `warmup`. */
const ENGINE_ARGS = ['--step-ms', '5', '--start-cold'];
const COLD_ARGS = ['--cold-capacity', '4', '--warmup-ms', '2000'];

/** Four engines and two ledgers, each in both zones. */
export const FAULT_SHAPE: DeploymentShape = {
  zones: ['zone-a', 'zone-b'],
  controls: 3,
  entries: 2,
  pools: [
    {
      pool: 'planner',
      kind: 'engine',
      count: 4,
      fakeArgs: [...ENGINE_ARGS, ...COLD_ARGS],
    },
    {
      pool: 'allocation',
      kind: 'service',
      count: 2,
      fakeArgs: ['--latency-ms', '20'],
    },
  ],
  usesRelays: true,
};
