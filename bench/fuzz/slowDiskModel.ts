/**
 * Elections of the replicated log on slow disks. Each disk has its own sync time
 * and stalls now and then. After the first start, the loss of a leader and a
 * restart of all instances, a change must be accepted in time, also while one
 * instance stays away.
 */

import type {FuzzModel} from './fuzzModel';
import {InvariantViolation} from './logHistory';
import {LogCluster} from './logModel';
import {SeededRandom} from './schedule';

const CHECK_MS = 25;
const PHASES = 4;
const LONGEST_STALL_MS = 5_000;
const STALL_CHANCE = 0.05;
/** Timeout of calls between nodes. */
const REPLY_TIMEOUT_MS = 1_000;
const MESSAGE_DELAY_MS = 10;
/** A change is accepted within this many syncs, and this time more. */
const TARGET_SYNCS = 20;
const TARGET_MS = 10_000;

/** What one schedule does to its disks. */
interface Disks {
  /** Longest regular sync by instance, in milliseconds. */
  readonly slowestMs: ReadonlyMap<string, number>;
  readonly stalls: boolean;
}

/** Runs one schedule; returns the longest time to an accepted change, in ms. */
export function runSlowDiskSchedule(seed: number): number {
  const random = new SeededRandom(seed);
  const count = random.pick([3, 3, 4, 5]);
  const ids = Array.from({length: count}, (_, i) => `control-${i + 1}`);
  const disks = drawDisks(ids, random);
  const cluster = new LogCluster(seed, {
    ids,
    settingsOf: () => ({}),
    delayMs: MESSAGE_DELAY_MS,
    replyTimeoutMs: REPLY_TIMEOUT_MS,
    syncMsOf: id =>
      disks.stalls && random.chance(STALL_CHANCE)
        ? random.int(0, LONGEST_STALL_MS)
        : random.int(0, disks.slowestMs.get(id) ?? 0),
  });
  cluster.endFaults();
  let slowest = acceptChange(cluster, targetMs(disks, 'start'));
  for (let phase = 0; phase < PHASES; phase++) {
    const leader = cluster.leader();
    const lost = random.chance(0.3) ? cluster.instances.values() : [leader];
    for (const instance of lost) instance?.crash();
    if (random.chance(0.5)) cluster.advance(random.int(0, 10_000), () => {});
    const isRestarted = random.chance(0.5);
    for (const instance of cluster.instances.values())
      if (isRestarted || instance !== leader) instance.boot();
    const timeoutMs = targetMs(disks, isRestarted ? 'all' : 'withoutOne');
    slowest = Math.max(slowest, acceptChange(cluster, timeoutMs));
    cluster.heal();
  }
  return slowest;
}

function drawDisks(ids: readonly string[], random: SeededRandom): Disks {
  const common = random.pick([1, 10, 100, 500, 2_000, 5_000]);
  const other = random.pick([1, 100, 5_000]);
  const minority = Math.floor((ids.length - 1) / 2);
  const differing = random.pick([0, minority]);
  const from = random.int(0, ids.length - differing);
  const slowestMs = new Map(
    ids.map((id, index) => [
      id,
      index >= from && index < from + differing ? other : common,
    ])
  );
  return {slowestMs, stalls: random.chance(0.5)};
}

/**
 * Follows from the slowest disk of the fastest quorum, and at the start from that of
 * the founder.
 */
function targetMs(
  {slowestMs, stalls}: Disks,
  running: 'start' | 'all' | 'withoutOne'
): number {
  const all = [...slowestMs.values()];
  const sorted = [...all].sort((a, b) => a - b);
  const quorum =
    Math.floor(all.length / 2) + (running === 'withoutOne' ? 1 : 0);
  const founderMs = running === 'start' ? (all[0] ?? 0) : 0;
  const regularMs = Math.max(founderMs, sorted[quorum] ?? 0);
  const syncMs = stalls ? Math.max(regularMs, LONGEST_STALL_MS) : regularMs;
  return TARGET_SYNCS * syncMs + TARGET_MS;
}

/** Returns the time until a change is accepted. */
function acceptChange(cluster: LogCluster, timeoutMs: number): number {
  const {history} = cluster;
  const start = cluster.now();
  const before = history.acceptedCount;
  const proposedIn = new Set<string>();
  while (history.acceptedCount === before) {
    if (cluster.now() - start > timeoutMs)
      throw new InvariantViolation(
        `no change accepted within ${timeoutMs} ms: ${statesOf(cluster)}`
      );
    const leader = cluster.leader();
    const leadership = `${leader?.id} ${leader?.status()?.term}`;
    if (leader !== undefined && !proposedIn.has(leadership)) {
      proposedIn.add(leadership);
      leader.propose(cluster.nextHolder());
    }
    cluster.advance(CHECK_MS, () => undefined);
  }
  return cluster.now() - start;
}

function statesOf(cluster: LogCluster): string {
  const states = [...cluster.instances.values()].map(one => one.status());
  return JSON.stringify(
    states.map(one => ({role: one?.role, term: one?.term}))
  );
}

/** The model that the fuzz command runs. */
export const SLOW_DISK_MODEL: FuzzModel = {
  name: 'slowDiskModel',
  run: seed => {
    runSlowDiskSchedule(seed);
  },
};
