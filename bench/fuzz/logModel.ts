/**
 * The replicated log under seeded schedules: late, reordered, lost and doubled
 * messages, cuts in one or both directions, crashes that lose unsynced writes,
 * pauses, lost disks, two of these at once. Then everything is healed, and
 * every instance must vote again and hold all that was accepted.
 */

import type {LogTiming} from '../../src/control/log/coreEvents';
import {DEFAULT_TIMING} from '../../src/control/log/coreEvents';
import type {FuzzModel} from './fuzzModel';
import {BrokenPromise, LogHistory} from './logHistory';
import type {LogMessage, LogSizes, LogWorld} from './logInstance';
import {LogInstance} from './logInstance';
import {Network, SeededRandom} from './schedule';

const STEP_MS = 5;
const TICK_MS = 25;
const FAULTS_MS = 30_000;
/** Longest quiet start, long enough for a first leader. */
const QUIET_MS = 3000;
/** Virtual time after healing within which all must be whole again. */
const HEAL_MS = 30_000;
const STRAGGLE_MS = 4000;
const RETRY_MS = 500;

/** A group of instances in virtual time. */
export class LogCluster implements LogWorld {
  readonly history = new LogHistory(id => this.instances.get(id)?.disk.durable);
  readonly random: SeededRandom;
  readonly ids: readonly string[];
  readonly sizes: LogSizes;
  readonly timing: LogTiming;
  readonly instances: ReadonlyMap<string, LogInstance>;
  private readonly network: Network<LogMessage>;
  /** Ids whose disk was lost and is not yet replaced. */
  private readonly lost = new Set<string>();
  /** Share of messages that get lost until all is healed. */
  private drop: number;
  /** Share of messages that come seconds late until all is healed. */
  private straggle: number;
  private readonly delayMs: number;
  private readonly faults: {
    maxDelayMs: number;
    drop: number;
    duplicate: number;
  };
  wipeChance = 0;
  private proposals = 0;

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
    const {random} = this;
    const count = random.pick([1, 3, 3, 3, 3, 5]);
    this.ids = Array.from({length: count}, (_, i) => `control-${i + 1}`);
    this.sizes = {
      snapshotEntries: random.pick([3, 10, 30, 1000]),
      trailingEntries: random.pick([0, 2, 8]),
      batchEntries: random.pick([4, 16, 64]),
      batchChars: random.pick([500, 100_000]),
      chunkChars: random.pick([200, 2000]),
      syncMs: random.pick([0, 10, 60]),
    };
    this.drop = random.pick([0, 0.02, 0.15]);
    this.straggle = random.pick([0, 0, 0.02, 0.1]);
    this.delayMs = random.pick([5, 40, 150]);
    this.timing = {
      ...DEFAULT_TIMING,
      // Safety must not hang on how soon an old leader steps down.
      checkQuorumMs: random.pick([DEFAULT_TIMING.checkQuorumMs, 6000]),
    };
    this.faults = {
      drop: 0,
      duplicate: random.pick([0, 0.1]),
      maxDelayMs: this.delayMs,
    };
    this.network = new Network(random, this.faults);
    this.instances = new Map(
      this.ids.map(id => [id, new LogInstance(id, this)])
    );
  }

  now(): number {
    return this.network.now;
  }

  send(from: string, to: string, message: LogMessage): void {
    if (this.random.chance(this.drop)) return;
    const late = this.random.chance(this.straggle);
    this.faults.maxDelayMs = late ? STRAGGLE_MS : this.delayMs;
    this.network.send(from, to, message);
  }

  /** Runs `ms` of virtual time; `each` runs at every step. */
  advance(ms: number, each: () => void): void {
    const end = this.now() + ms;
    while (this.now() < end) this.step(each);
  }

  /** Whether every instance votes and holds all that was committed. */
  isWhole(): boolean {
    const {committedIndex} = this.history;
    const all = [...this.instances.values()].map(one => one.status());
    const leaders = all.filter(status => status?.role === 'leader');
    return (
      leaders.length === 1 &&
      all.every(
        status => status?.voter && status.commitIndex >= committedIndex
      ) &&
      this.history.configuration.voters.length === this.ids.length
    );
  }

  /** One random fault, or the end of one. */
  disturb(): void {
    const one = this.anyInstance();
    if (this.random.chance(this.wipeChance)) {
      this.wipe(one);
      return;
    }
    const fault = this.random.int(0, 13);
    if (fault <= 1) this.stop(one);
    else if (fault <= 5) for (const each of this.all()) each.boot();
    else if (fault <= 6) this.network.cut(one.id, this.anyInstance().id);
    else if (fault <= 7) this.isolate(one.id);
    else if (fault <= 10) this.network.heal();
    else if (fault <= 11) one.pause();
    else for (const each of this.all()) each.resume();
  }

  /** Ends a process, now and then in an orderly way. */
  private stop(one: LogInstance): void {
    if (this.random.chance(0.3)) one.step({kind: 'resign'});
    one.crash();
  }

  /** Loses a disk, unless that would make a majority of lost ones. */
  wipe(one: LogInstance): void {
    for (const {id, incarnation} of this.history.configuration.voters)
      if (
        this.instances.get(id)?.disk.durable?.hard.incarnation === incarnation
      )
        this.lost.delete(id);
    const minority = Math.floor((this.ids.length - 1) / 2);
    if (new Set([...this.lost, one.id]).size > minority) return;
    this.lost.add(one.id);
    one.wipe();
    if (this.random.chance(0.5)) one.boot();
  }

  /** Ends all faults for good. */
  settle(): void {
    this.drop = 0;
    this.straggle = 0;
    this.heal();
  }

  heal(): void {
    this.network.heal();
    for (const one of this.all()) {
      one.resume();
      one.boot();
    }
  }

  /** Proposes new holders and asks for barriers, mostly at a leader. */
  load(): void {
    for (const one of this.all()) {
      const rate = one.status()?.role === 'leader' ? 1 : 0.1;
      if (this.random.chance(0.05 * rate)) one.propose(this.nextHolder());
      if (this.random.chance(0.03 * rate)) one.readBarrier();
    }
  }

  nextHolder(): string {
    return `holder-${++this.proposals}`;
  }

  private all(): readonly LogInstance[] {
    return [...this.instances.values()];
  }

  private anyInstance(): LogInstance {
    return this.random.pick(this.all());
  }

  private isolate(id: string): void {
    for (const other of this.ids) {
      this.network.cut(id, other);
      this.network.cut(other, id);
    }
  }

  private step(each: () => void): void {
    for (const {from, to, message} of this.network.advance(STEP_MS))
      this.deliver(from, to, message);
    for (const one of this.all()) {
      one.syncDisk();
      if (this.now() % TICK_MS === 0) one.step({kind: 'tick'});
    }
    each();
  }

  private deliver(from: string, to: string, message: LogMessage): void {
    const receiver = this.instances.get(to);
    if (receiver === undefined) return;
    if (message.kind === 'reply') {
      receiver.step({kind: 'reply', from, message: message.message});
      return;
    }
    if (receiver.isUp) receiver.request(message.message);
    else
      this.instances
        .get(from)
        ?.step({kind: 'sendFailed', to, message: message.message});
  }
}

/** Runs one schedule and returns its history. */
export function runLogSchedule(seed: number): LogHistory {
  const cluster = new LogCluster(seed);
  const {random} = cluster;
  const faultChance = random.pick([0.002, 0.008, 0.03]);
  const quietUntil = random.pick([0, QUIET_MS]);
  cluster.wipeChance = random.pick([0.05, 0.15, 0.4]);
  cluster.heal();
  cluster.advance(FAULTS_MS, () => {
    if (cluster.now() > quietUntil && random.chance(faultChance))
      cluster.disturb();
    cluster.load();
  });
  cluster.settle();
  assertHeals(cluster);
  return cluster.history;
}

function assertHeals(cluster: LogCluster): void {
  const {history} = cluster;
  const end = cluster.now() + HEAL_MS;
  const before = history.acceptedCount;
  while (cluster.now() < end) {
    cluster.advance(RETRY_MS, () => undefined);
    if (history.acceptedCount > before && cluster.isWhole()) return;
    for (const one of cluster.instances.values())
      if (one.status()?.role === 'leader' && history.acceptedCount === before)
        one.propose(cluster.nextHolder());
  }
  const states = [...cluster.instances].map(([id, one]) => ({
    id,
    ...one.status(),
  }));
  throw new BrokenPromise(`not whole again: ${JSON.stringify(states)}`);
}

/** The model that the fuzz command runs. */
export const LOG_MODEL: FuzzModel = {
  name: 'logModel',
  run: seed => {
    runLogSchedule(seed);
  },
};
