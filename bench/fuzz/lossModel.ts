/**
 * The replicated log of nodes whose disks are lost by the rule of a deployment:
 * at most `lossesBorne` machines at once, and each counts until the core was
 * calm for a while. The rule knows nothing of the voters, so that a repair that
 * takes too long shows. Last, one more disk is lost right after an accepted
 * change, often while all other machines lose power.
 */

import {LOG_TIMING} from '../../src/cluster/logTiming';
import {DiskNodes, type DiskNodesShape} from './diskNodes';
import type {FuzzModel} from './fuzzModel';
import {InvariantViolation, type LogHistory} from './logHistory';
import {SeededRandom} from './schedule';

/** Time after a loss is repaired until the next one may come. */
const CALM_MS = 3_000;
/** Longest delays of messages: an election takes two rounds of them. */
const DELAYS_MS = [5, 40];
/** Large enough that an empty machine has the log within a few round trips. */
const SIZES = {chunkChars: 5_000, batchEntries: 64, batchChars: 100_000};
const STEP_MS = 5;
const SUBMIT_MS = 50;
/** Time in which a change must be accepted. */
const ACCEPT_TIMEOUT_MS = 10_000;
const SETTLE_MS = 3_000;
/** The directory of nodes drops an address that it did not see for this long. */
const FORGOTTEN_AFTER_MS = 20_000;

/** A group, and the losses that it has to bear. */
interface LossShape {
  readonly disks: number;
  readonly lossesBorne: number;
  /** Most voters; unlimited when absent. */
  readonly maxVoters?: number;
}

const SHAPES: readonly LossShape[] = [
  {disks: 3, lossesBorne: 1},
  {disks: 3, lossesBorne: 1},
  {disks: 4, lossesBorne: 1},
  {disks: 6, lossesBorne: 2},
  {disks: 12, lossesBorne: 1, maxVoters: 9},
  {disks: 7, lossesBorne: 1, maxVoters: 3},
  {disks: 8, lossesBorne: 2, maxVoters: 5},
];

const LOSSES = [
  'replaced',
  'replacedByPlan',
  'wiped',
  'powerLost',
  'frozen',
  'cutOff',
] as const;

type Loss = (typeof LOSSES)[number];

/** Runs one schedule and returns its history. */
export function runLossSchedule(seed: number): LogHistory {
  const schedule = new LossSchedule(seed);
  schedule.run();
  return schedule.disks.cluster.history;
}

class LossSchedule {
  readonly disks: DiskNodes;
  private readonly random: SeededRandom;
  private readonly shape: LossShape;
  private readonly losses: number;
  /** Ids of the machines that are there. */
  private readonly present: string[];
  /** Machines that are lost, or whose repair is not yet long enough ago. */
  private readonly lost = new Set<string>();
  private readonly log: string[] = [];
  private timers: {readonly atMs: number; readonly run: () => void}[] = [];
  private submits = true;

  constructor(seed: number) {
    const random = new SeededRandom(seed);
    this.random = random;
    this.shape = random.pick(SHAPES);
    this.losses = random.int(1, 6);
    const {disks, lossesBorne, maxVoters} = this.shape;
    const shape: DiskNodesShape = {
      nodes: disks,
      spares: this.losses,
      lossesBorne,
      maxVoters,
      timing: LOG_TIMING,
      delayMs: random.pick(DELAYS_MS),
      sizes: SIZES,
      hasReports: random.chance(0.5),
    };
    this.disks = new DiskNodes(seed, shape);
    this.present = this.disks.cluster.ids.slice(0, disks);
  }

  run(): void {
    const {random, shape} = this;
    const {disks, maxVoters = disks} = shape;
    this.disks.untilVoters(Math.min(disks, maxVoters));
    this.advance(SETTLE_MS);
    const leaderChance = random.pick([0, 0.5, 1]);
    const longestPauseMs = random.pick([0, 0, 500, 6_000]);
    for (let i = 0; i < this.losses; i++) {
      this.awaitNextLoss(longestPauseMs);
      this.lose(random.pick(LOSSES), this.victim(leaderChance));
    }
    this.awaitNextLoss(longestPauseMs);
    this.accept('before the last loss');
    this.loseLastDisk();
    this.accept('after the last loss');
    this.awaitAllCommitted();
  }

  private awaitNextLoss(longestPauseMs: number): void {
    while (this.lost.size >= this.shape.lossesBorne) this.advance(STEP_MS);
    this.advance(this.random.int(0, longestPauseMs));
  }

  private victim(leaderChance: number): string {
    const candidates = this.present.filter(id => !this.lost.has(id));
    const leader = this.disks.cluster.leader()?.id ?? '';
    return candidates.includes(leader) && this.random.chance(leaderChance)
      ? leader
      : this.random.pick(candidates);
  }

  private lose(loss: Loss, id: string): void {
    const {random} = this;
    const instance = this.disks.instance(id);
    this.note(`${id} is ${loss}`);
    this.lost.add(id);
    switch (loss) {
      case 'replaced':
        this.remove(id);
        this.after(random.int(0, 1_000), () => this.startSpare(id));
        return;
      case 'replacedByPlan': {
        this.startSpare();
        this.after(random.int(100, 3_000), () => {
          this.remove(id);
          this.repaired(id);
        });
        return;
      }
      case 'wiped':
        instance.wipe();
        this.after(random.int(500, 1_200), () => this.start(id));
        return;
      case 'powerLost':
        instance.crash();
        this.after(random.int(300, 8_000), () => this.start(id));
        return;
      case 'frozen':
        instance.pause();
        this.after(random.int(300, 8_000), () => {
          instance.resume();
          this.repaired(id);
        });
        return;
      case 'cutOff':
        this.disks.cluster.partition(new Set([id]));
        this.after(random.int(300, 8_000), () => {
          this.disks.cluster.reconnect(id);
          this.repaired(id);
        });
        return;
    }
  }

  /** One more disk is lost, often with the power of all other machines. */
  private loseLastDisk(): void {
    const {random, present} = this;
    const id = this.victim(random.pick([0, 0, 1]));
    this.note(`${id} loses its disk last`);
    this.disks.instance(id).wipe();
    if (random.chance(0.7))
      this.after(random.int(300, 1_200), () => this.start(id));
    if (random.chance(0.3)) return;
    const others = present.filter(one => one !== id && !this.lost.has(one));
    for (const other of others) {
      this.disks.instance(other).crash();
      this.after(random.int(300, 1_200), () => this.start(other));
    }
  }

  /** The machine is gone for good; the others know its address for a while. */
  private remove(id: string): void {
    this.note(`${id} is gone`);
    this.disks.instance(id).wipe();
    this.present.splice(this.present.indexOf(id), 1);
    this.after(FORGOTTEN_AFTER_MS, () => this.disks.forgotten.add(id));
  }

  /** Starts an empty machine, in place of the lost one if one is named. */
  private startSpare(replaced?: string): void {
    const spare = this.disks.startSpare();
    this.present.push(spare);
    this.note(`${spare} starts`);
    if (replaced !== undefined) this.repaired(replaced);
  }

  private start(id: string): void {
    this.disks.instance(id).boot(false);
    this.repaired(id);
  }

  private repaired(id: string): void {
    this.note(`${id} is repaired`);
    this.after(CALM_MS, () => this.lost.delete(id));
  }

  private accept(when: string): void {
    const {cluster} = this.disks;
    const {acceptedCount} = cluster.history;
    const end = cluster.now() + ACCEPT_TIMEOUT_MS;
    let nextSubmitAt = 0;
    while (cluster.history.acceptedCount === acceptedCount) {
      if (cluster.now() >= end) this.fail(`no change is accepted ${when}`);
      if (cluster.now() >= nextSubmitAt) {
        cluster.leader()?.propose(cluster.nextHolder());
        nextSubmitAt = cluster.now() + SUBMIT_MS;
      }
      this.advance(STEP_MS);
    }
  }

  private awaitAllCommitted(): void {
    const {cluster} = this.disks;
    const end = cluster.now() + ACCEPT_TIMEOUT_MS;
    this.submits = false;
    const {committedIndex} = cluster.history;
    const holdsAll = () =>
      (cluster.leader()?.status()?.commitIndex ?? 0) >= committedIndex;
    while (!holdsAll()) {
      if (cluster.now() >= end) this.fail('accepted changes are lost');
      this.advance(STEP_MS);
    }
  }

  private fail(message: string): never {
    const states = this.present.map(id => ({
      id,
      ...this.disks.instance(id).status(),
    }));
    throw new InvariantViolation(
      [message, ...this.log, JSON.stringify(states)].join('\n')
    );
  }

  private after(ms: number, run: () => void): void {
    this.timers.push({atMs: this.disks.cluster.now() + ms, run});
  }

  private advance(ms: number): void {
    this.disks.advance(ms, () => {
      const now = this.disks.cluster.now();
      const due = this.timers.filter(({atMs}) => atMs <= now);
      this.timers = this.timers.filter(({atMs}) => atMs > now);
      for (const {run} of due) run();
      if (this.submits) this.disks.cluster.submitLoad();
    });
  }

  private note(what: string): void {
    const voters = this.disks.voterIds().join(' ');
    this.log.push(`${this.disks.cluster.now()}: ${what}; voters ${voters}`);
  }
}

/** The model that the fuzz command runs. */
export const LOSS_MODEL: FuzzModel = {
  name: 'lossModel',
  run: seed => {
    runLossSchedule(seed);
  },
};
