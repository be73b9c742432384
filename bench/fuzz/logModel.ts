/**
 * The replicated log under seeded schedules: late, reordered, lost and
 * duplicated messages, partitions in one or both directions, crashes that lose
 * unsynced writes, pauses, lost disks, also two of these at once. Afterwards
 * all faults end, and every instance must be a voter again and hold all
 * committed entries.
 */

import type {LogTiming} from '../../src/control/log/coreEvents';
import {DEFAULT_TIMING} from '../../src/control/log/coreEvents';
import type {Configuration} from '../../src/control/log/entry';
import type {FuzzModel} from './fuzzModel';
import {InvariantViolation, LogHistory} from './logHistory';
import type {
  LogEnvironment,
  LogMessage,
  LogSettings,
  LogSizes,
} from './logInstance';
import {LogInstance} from './logInstance';
import {Network, SeededRandom} from './schedule';

const STEP_MS = 5;
const TICK_MS = 25;
const FAULTS_MS = 30_000;
/** Longest start without faults: enough to elect a first leader. */
const MAX_QUIET_START_MS = 3000;
/** Virtual time after the last fault in which the cluster must recover. */
const RECOVERY_TIMEOUT_MS = 30_000;
/** Largest delay of a message that is chosen to be late. */
const MAX_LATE_MS = 4000;
/** Longer than a late reply of a lost disk may count at the leader. */
const RECENT_WIPE_MS = 10_000;
const PROPOSAL_RETRY_MS = 500;

/** A cluster that differs from one drawn from the seed. */
export interface LogShape {
  readonly ids: readonly string[];
  /** Settings of the log at one instance. */
  settingsOf(id: string): LogSettings;
  /** Time without a reply after which its sender gives up; none when absent. */
  readonly replyTimeoutMs?: number;
  /** Duration of the next sync of one disk; drawn for each write when absent. */
  readonly syncMsOf?: (id: string) => number;
  /** Timers of the log; drawn from the seed when absent. */
  readonly timing?: LogTiming;
  /** Longest delay of a message that is not late, in ms; drawn when absent. */
  readonly delayMs?: number;
  /** Sizes and times that are not drawn from the seed. */
  readonly sizes?: Partial<LogSizes>;
}

/** A group of instances in virtual time. */
export class LogCluster implements LogEnvironment {
  readonly history = new LogHistory(id => this.instances.get(id)?.disk.durable);
  readonly random: SeededRandom;
  readonly ids: readonly string[];
  readonly sizes: LogSizes;
  readonly timing: LogTiming;
  readonly instances: ReadonlyMap<string, LogInstance>;
  private readonly network: Network<LogMessage>;
  /** Instances whose disk was lost and whose new incarnation has no vote yet. */
  private readonly lostDisks = new Set<string>();
  /** Time of the last loss of a disk, by instance. */
  private readonly wipedAt = new Map<string, number>();
  /** Share of messages that are lost while there are faults. */
  private dropChance = 0;
  /** Share of messages that are seconds late while there are faults. */
  private lateChance = 0;
  private readonly drawn: {readonly drop: number; readonly late: number};
  /** Longest delay of a message that is not late, in virtual milliseconds. */
  readonly delayMs: number;
  private readonly faults: {
    maxDelayMs: number;
    drop: number;
    duplicate: number;
  };
  wipeChance = 0;
  private proposals = 0;
  /** Requests and replies that instances sent, also those that were lost. */
  sentCount = 0;

  constructor(
    seed: number,
    private readonly shape?: LogShape
  ) {
    this.random = new SeededRandom(seed);
    const {random} = this;
    const count = random.pick([1, 3, 3, 3, 3, 5]);
    this.ids =
      shape?.ids ?? Array.from({length: count}, (_, i) => `control-${i + 1}`);
    this.sizes = {
      snapshotEntries: random.pick([3, 10, 30, 1000]),
      trailingEntries: random.pick([0, 2, 8]),
      batchEntries: random.pick([4, 16, 64]),
      batchChars: random.pick([500, 100_000]),
      chunkChars: random.pick([200, 2000]),
      syncMs: random.pick([0, 10, 60]),
      ...shape?.sizes,
    };
    this.drawn = {
      drop: random.pick([0, 0.02, 0.15]),
      late: random.pick([0, 0, 0.02, 0.1]),
    };
    this.startFaults();
    const drawnDelayMs = random.pick([5, 40, 150]);
    this.delayMs = shape?.delayMs ?? drawnDelayMs;
    const drawnTiming = {
      ...DEFAULT_TIMING,
      // Safety must not depend on how soon an old leader steps down.
      checkQuorumMs: random.pick([DEFAULT_TIMING.checkQuorumMs, 6000]),
    };
    this.timing = shape?.timing ?? drawnTiming;
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

  settingsOf(id: string): LogSettings {
    return this.shape?.settingsOf(id) ?? {};
  }

  get replyTimeoutMs(): number | undefined {
    return this.shape?.replyTimeoutMs;
  }

  syncMsOf(id: string): number | undefined {
    return this.shape?.syncMsOf?.(id);
  }

  /** The instance that leads in the highest term. */
  leader(): LogInstance | undefined {
    const leaders = this.allInstances().filter(
      instance => instance.status()?.role === 'leader'
    );
    const termOf = (one: LogInstance) => one.status()?.term ?? 0;
    return leaders.sort((a, b) => termOf(b) - termOf(a))[0];
  }

  /** Whether a message from one instance would reach another now. */
  canReach(from: string, to: string): boolean {
    const isRunning = (id: string) => {
      const instance = this.instances.get(id);
      return instance?.isUp === true && !instance.isPaused;
    };
    return isRunning(from) && isRunning(to) && !this.network.isCut(from, to);
  }

  /** Cuts all links between the given instances and the others. */
  partition(side: ReadonlySet<string>): void {
    for (const a of this.ids)
      for (const b of this.ids)
        if (side.has(a) !== side.has(b)) this.network.cut(a, b);
  }

  /** Restores the links of an instance that was cut off. */
  reconnect(id: string): void {
    for (const other of this.ids) {
      this.network.restore(id, other);
      this.network.restore(other, id);
    }
  }

  send(from: string, to: string, message: LogMessage): void {
    this.sentCount++;
    if (this.random.chance(this.dropChance)) return;
    const late = this.random.chance(this.lateChance);
    this.faults.maxDelayMs = late ? MAX_LATE_MS : this.delayMs;
    this.network.send(from, to, message);
  }

  /** Advances the virtual time by `ms`; calls `onStep` at every step. */
  advance(ms: number, onStep: () => void): void {
    const end = this.now() + ms;
    while (this.now() < end) this.step(onStep);
  }

  /**
   * Whether there is one leader and every instance votes and knows all committed
   * entries.
   */
  hasRecovered(): boolean {
    const {committedIndex} = this.history;
    const statuses = [...this.instances.values()].map(instance =>
      instance.status()
    );
    const leaders = statuses.filter(status => status?.role === 'leader');
    return (
      leaders.length === 1 &&
      statuses.every(
        status => status?.voter && status.commitIndex >= committedIndex
      ) &&
      this.history.configuration.voters.length === this.ids.length
    );
  }

  /** Starts a random fault or ends some. */
  injectFault(): void {
    const instance = this.randomInstance();
    if (this.random.chance(this.wipeChance)) {
      this.wipe(instance);
      return;
    }
    const fault = this.random.int(0, 13);
    if (fault <= 1) this.stop(instance);
    else if (fault <= 5)
      for (const other of this.allInstances()) other.boot(this.mayFound);
    else if (fault <= 6)
      this.network.cut(instance.id, this.randomInstance().id);
    else if (fault <= 7) this.isolate(instance.id);
    else if (fault <= 10) this.network.heal();
    else if (fault <= 11) instance.pause();
    else for (const other of this.allInstances()) other.resume();
  }

  /** Crashes a process; sometimes it resigns as leader first. */
  private stop(instance: LogInstance): void {
    if (this.random.chance(0.3)) instance.step({kind: 'resign'});
    instance.crash();
  }

  /** Loses a disk, unless more than a minority would be lost at once. */
  wipe(instance: LogInstance): void {
    for (const {id, incarnation} of this.history.configuration.voters)
      if (
        this.instances.get(id)?.disk.durable?.hard.incarnation === incarnation
      )
        this.lostDisks.delete(id);
    if (!this.isMinorityLost(instance.id)) return;
    this.lostDisks.add(instance.id);
    this.wipedAt.set(instance.id, this.now());
    instance.wipe();
    // With a voter limit, a machine that is replaced later founds no group: its
    // settings say that the deployment does not start for the first time.
    if (this.random.chance(0.5)) instance.boot(this.shape === undefined);
  }

  private get mayFound(): boolean {
    return this.shape === undefined || this.wipedAt.size === 0;
  }

  /** Whether only a minority of disks would be lost with that of `id`. */
  private isMinorityLost(id: string): boolean {
    const lost = new Set([...this.lostDisks, id]);
    if (this.shape === undefined)
      return lost.size <= Math.floor((this.ids.length - 1) / 2);
    // Not every instance votes: the configurations that may be in force count. The
    // leader may still add an instance whose disk is lost now or was a moment ago,
    // so that this counts as a lost voter too.
    const since = this.now() - RECENT_WIPE_MS;
    const wipes = [...this.wipedAt].filter(([, atMs]) => atMs > since);
    const recent = new Set([id, ...wipes.map(([one]) => one)]);
    return this.lastConfigurations().every(({voters}) => {
      const gone = voters.filter(
        voter =>
          voter.id === id ||
          this.instances.get(voter.id)?.disk.durable?.hard.incarnation !==
            voter.incarnation
      );
      const isVoter = (one: string) => voters.some(voter => voter.id === one);
      const added = [...recent].filter(one => !isVoter(one)).length;
      return gone.length + added <= Math.floor((voters.length - 1) / 2);
    });
  }

  /** The committed configuration, and those that may still be committed. */
  private lastConfigurations(): readonly Configuration[] {
    const {committedIndex, configuration} = this.history;
    const onDisks = this.allInstances().flatMap(({disk}) =>
      (disk.durable?.entries ?? []).flatMap(({index, body}) =>
        index > committedIndex && body.kind === 'configuration'
          ? [body.configuration]
          : []
      )
    );
    const atLeaders = this.allInstances()
      .map(instance => instance.status())
      .filter(status => status?.role === 'leader')
      .map(status => ({voters: status?.voters ?? []}));
    return [configuration, ...onDisks, ...atLeaders];
  }

  /** Loses and delays messages as drawn from the seed, as at the start. */
  startFaults(): void {
    this.dropChance = this.drawn.drop;
    this.lateChance = this.drawn.late;
  }

  /** Ends all faults until `startFaults`. */
  endFaults(): void {
    this.dropChance = 0;
    this.lateChance = 0;
    this.heal();
  }

  heal(): void {
    this.network.heal();
    for (const instance of this.allInstances()) {
      instance.resume();
      instance.boot(this.mayFound);
    }
  }

  /** Submits proposals and read barriers, mostly at leaders. */
  submitLoad(): void {
    for (const instance of this.allInstances()) {
      const rate = instance.status()?.role === 'leader' ? 1 : 0.1;
      if (this.random.chance(0.05 * rate)) instance.propose(this.nextHolder());
      if (this.random.chance(0.03 * rate)) instance.readBarrier();
    }
  }

  nextHolder(): string {
    return `holder-${++this.proposals}`;
  }

  private allInstances(): readonly LogInstance[] {
    return [...this.instances.values()];
  }

  private randomInstance(): LogInstance {
    return this.random.pick(this.allInstances());
  }

  private isolate(id: string): void {
    for (const other of this.ids) {
      this.network.cut(id, other);
      this.network.cut(other, id);
    }
  }

  private step(onStep: () => void): void {
    for (const {from, to, message} of this.network.advance(STEP_MS))
      this.deliver(from, to, message);
    for (const instance of this.allInstances()) {
      instance.syncDisk();
      if (this.now() % TICK_MS === 0) instance.step({kind: 'tick'});
    }
    onStep();
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
  const quietUntil = random.pick([0, MAX_QUIET_START_MS]);
  cluster.wipeChance = random.pick([0.05, 0.15, 0.4]);
  cluster.heal();
  cluster.advance(FAULTS_MS, () => {
    if (cluster.now() > quietUntil && random.chance(faultChance))
      cluster.injectFault();
    cluster.submitLoad();
  });
  cluster.endFaults();
  assertRecovers(cluster);
  return cluster.history;
}

function assertRecovers(cluster: LogCluster): void {
  const {history} = cluster;
  const end = cluster.now() + RECOVERY_TIMEOUT_MS;
  const before = history.acceptedCount;
  while (cluster.now() < end) {
    cluster.advance(PROPOSAL_RETRY_MS, () => undefined);
    if (history.acceptedCount > before && cluster.hasRecovered()) return;
    for (const instance of cluster.instances.values())
      if (
        instance.status()?.role === 'leader' &&
        history.acceptedCount === before
      )
        instance.propose(cluster.nextHolder());
  }
  const states = [...cluster.instances].map(([id, instance]) => ({
    id,
    ...instance.status(),
  }));
  throw new InvariantViolation(
    `cluster has not recovered in time: ${JSON.stringify(states)}`
  );
}

/** The model that the fuzz command runs. */
export const LOG_MODEL: FuzzModel = {
  name: 'logModel',
  run: seed => {
    runLogSchedule(seed);
  },
};
