/** Random faults of a simulated cluster. */

import {unreachable} from '../../src/core/errors';
import type {SeededRandom} from './schedule';
import type {SimulatedCluster} from './simulatedCluster';

/** What befalls a random node or the leader. */
export type ClusterFault =
  'none' | 'freeze' | 'cut' | 'restart' | 'lostLeader' | 'twoLeaders';

/** A fault at a time. */
export interface TimedFault {
  readonly atMs: number;
  readonly kind: ClusterFault;
}

const FAULTS: readonly ClusterFault[] = [
  'none',
  'freeze',
  'cut',
  'restart',
  'lostLeader',
  'twoLeaders',
];
const MIN_MS = 100;
const MAX_MS = 6_000;
/** Longest time in which two leaders answer reports. */
const MAX_OVERLAP_MS = 700;

/** Up to `most` faults between two times. */
export function randomFaults(
  random: SeededRandom,
  most: number,
  fromMs: number,
  untilMs: number
): readonly TimedFault[] {
  return Array.from({length: random.int(0, most)}, () => ({
    atMs: random.int(fromMs, untilMs),
    kind: random.pick(FAULTS),
  }));
}

/** Injects a fault now. */
export function injectFault(
  cluster: SimulatedCluster,
  kind: ClusterFault,
  nodes: number,
  random: SeededRandom
): void {
  const victim = random.int(0, nodes - 1);
  const ms = random.int(MIN_MS, MAX_MS);
  switch (kind) {
    case 'none':
      return;
    case 'freeze':
      return cluster.freeze(victim, ms);
    case 'cut':
      return cluster.cut(victim, ms);
    case 'restart':
      return cluster.restart(victim);
    case 'lostLeader':
      return cluster.restart(Math.max(0, cluster.leaderIndex));
    case 'twoLeaders':
      return cluster.changeLeader(random.int(0, MAX_OVERLAP_MS));
    default:
      return unreachable(kind);
  }
}
