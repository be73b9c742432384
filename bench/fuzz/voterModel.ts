/**
 * The replicated log with a voter limit under the faults of the log model. After
 * the faults there must be a leader again, as many voters as the limit allows,
 * and all of them must hold all committed entries.
 */

import type {FuzzModel} from './fuzzModel';
import type {LogHistory} from './logHistory';
import {InvariantViolation} from './logHistory';
import {DiskNodes} from './diskNodes';
import {SeededRandom} from './schedule';

const FAULTS_MS = 30_000;
const CHECK_MS = 500;
const RECOVERY_CHECKS = 120;

/** Runs one schedule and returns its history. */
export function runVoterSchedule(seed: number): LogHistory {
  const random = new SeededRandom(seed);
  const maxVoters = random.pick([3, 5]);
  const nodes = random.int(maxVoters + 1, 10);
  const hasReports = random.chance(0.5);
  const disks = new DiskNodes(seed, {nodes, maxVoters, hasReports});
  const {cluster} = disks;
  const faultChance = random.pick([0.002, 0.008, 0.03]);
  cluster.wipeChance = random.pick([0.05, 0.15, 0.4]);
  cluster.startFaults();
  disks.advance(FAULTS_MS, () => {
    if (random.chance(faultChance)) cluster.injectFault();
    cluster.submitLoad();
  });
  cluster.endFaults();
  assertRecovers(disks, maxVoters);
  return cluster.history;
}

function assertRecovers(disks: DiskNodes, maxVoters: number): void {
  const {cluster} = disks;
  const {history} = cluster;
  const before = history.acceptedCount;
  for (let check = 0; check < RECOVERY_CHECKS; check++) {
    disks.advance(CHECK_MS);
    const isServing = history.acceptedCount > before;
    if (isServing && hasRecovered(disks, maxVoters)) return;
    if (!isServing) cluster.leader()?.propose(cluster.nextHolder());
  }
  const states = [...cluster.instances.values()].map(one => one.status());
  throw new InvariantViolation(
    `cluster has not recovered in time: ${JSON.stringify(states)}`
  );
}

function hasRecovered({cluster}: DiskNodes, maxVoters: number): boolean {
  const statuses = [...cluster.instances.values()].map(one => one.status());
  const leaders = statuses.filter(status => status?.role === 'leader');
  const voters = statuses.filter(status => status?.voter);
  const {committedIndex} = cluster.history;
  return (
    leaders.length === 1 &&
    voters.length === maxVoters &&
    voters.every(status => (status?.commitIndex ?? 0) >= committedIndex)
  );
}

/** The model that the fuzz command runs. */
export const VOTER_MODEL: FuzzModel = {
  name: 'voterModel',
  run: seed => {
    runVoterSchedule(seed);
  },
};
