/** One instance in the fuzz model: the core, a disk and a state machine. */

import type {
  CoreEffect,
  CoreEvent,
  CoreOptions,
  LogTiming,
} from '../../src/control/log/coreEvents';
import type {DurableState, LogEntry} from '../../src/control/log/entry';
import type {CoreReply, CoreRequest} from '../../src/control/log/messages';
import {RaftCore} from '../../src/control/log/raftCore';
import type {LogStatus} from '../../src/control/log/replicatedLog';
import {BrokenPromise, type LogHistory} from './logHistory';
import {MemoryDisk} from './memoryDisk';
import type {SeededRandom} from './schedule';

/** What travels between instances. */
export type LogMessage =
  | {readonly kind: 'request'; readonly message: CoreRequest}
  | {readonly kind: 'reply'; readonly message: CoreReply};

/** Sizes that make snapshots and catch-up happen within a short schedule. */
export interface LogSizes {
  readonly snapshotEntries: number;
  readonly trailingEntries: number;
  readonly batchEntries: number;
  readonly batchChars: number;
  readonly chunkChars: number;
  readonly syncMs: number;
}

/** The world around an instance. */
export interface LogWorld {
  readonly ids: readonly string[];
  readonly random: SeededRandom;
  readonly history: LogHistory;
  readonly sizes: LogSizes;
  readonly timing: LogTiming;
  now(): number;
  send(from: string, to: string, message: LogMessage): void;
}

/** Crashes, restarts, pauses and wipes like a process with its disk. */
export class LogInstance {
  readonly disk = new MemoryDisk();
  private core: RaftCore | undefined;
  private paused = false;
  private backlog: CoreEvent[] = [];
  /** Raised by effects, handled after them. */
  private deferred: CoreEvent[] = [];
  private incarnations = 0;
  private tickets = 0;
  private holders: string[] = [];
  private appliedIndex = 0;
  private snapshotIndex = 0;
  private requests = new Map<number, CoreRequest>();
  private proposals = new Map<number, string>();
  private placed = new Map<number, string>();
  private barriers = new Map<number, number>();

  constructor(
    readonly id: string,
    private readonly world: LogWorld
  ) {}

  get isUp(): boolean {
    return this.core !== undefined;
  }

  get isPaused(): boolean {
    return this.paused;
  }

  status(): LogStatus | undefined {
    return this.core?.status();
  }

  boot(mayFound = true): void {
    if (this.core !== undefined) return;
    this.disk.durable ??= this.freshState(mayFound);
    const {snapshot} = this.disk.durable;
    this.holders = snapshot === undefined ? [] : JSON.parse(snapshot.data);
    this.appliedIndex = snapshot?.index ?? 0;
    this.snapshotIndex = this.appliedIndex;
    this.forget();
    this.core = new RaftCore(
      this.options(),
      this.disk.durable,
      this.world.now()
    );
  }

  /** The process dies; a part of the unsynced writes may have got through. */
  crash(): void {
    this.core = undefined;
    this.paused = false;
    this.backlog = [];
    this.disk.crash(this.world.random.int(0, 4));
  }

  /** The process dies and its disk is lost. */
  wipe(): void {
    this.crash();
    this.disk.wipe();
  }

  pause(): void {
    this.paused = this.isUp;
  }

  /** What came meanwhile is handled in order, with the clock gone on. */
  resume(): void {
    this.paused = false;
    const waiting = this.backlog;
    this.backlog = [];
    for (const event of waiting) this.step(event);
  }

  step(event: CoreEvent): void {
    if (this.core === undefined) return;
    if (this.paused) {
      if (event.kind !== 'tick') this.backlog.push(event);
      return;
    }
    const {core} = this;
    for (const effect of core.step(event, this.world.now())) {
      if (this.core !== core) return;
      this.perform(core, effect);
    }
    const next = this.deferred.shift();
    if (next !== undefined) this.step(next);
  }

  syncDisk(): void {
    if (this.core === undefined) return;
    const seq = this.disk.sync(this.world.now());
    if (seq !== undefined) this.step({kind: 'synced', seq});
  }

  request(message: CoreRequest): void {
    const ticket = ++this.tickets;
    this.requests.set(ticket, message);
    this.step({kind: 'request', ticket, message});
  }

  propose(holder: string): void {
    const ticket = ++this.tickets;
    this.proposals.set(ticket, holder);
    const command = {kind: 'fence' as const, group: 'ranks', holder};
    this.step({kind: 'propose', ticket, command});
  }

  readBarrier(): void {
    const ticket = ++this.tickets;
    this.barriers.set(ticket, this.world.history.committedIndex);
    this.step({kind: 'readBarrier', ticket});
  }

  private options(): CoreOptions {
    const {ids, random, sizes} = this.world;
    return {
      id: this.id,
      peerIds: () => ids.filter(id => id !== this.id),
      random: () => random.next(),
      timing: this.world.timing,
      batchEntries: sizes.batchEntries,
      batchChars: sizes.batchChars,
      chunkChars: sizes.chunkChars,
      trailingEntries: sizes.trailingEntries,
    };
  }

  private freshState(mayFound: boolean): DurableState {
    const incarnation = `${this.id}/${++this.incarnations}`;
    const base = {index: 0, term: 0};
    return {hard: {incarnation, term: 0, mayFound}, base, entries: []};
  }

  private forget(): void {
    this.deferred = [];
    this.requests.clear();
    this.proposals.clear();
    this.placed.clear();
    this.barriers.clear();
  }

  private perform(core: RaftCore, effect: CoreEffect): void {
    const {world} = this;
    switch (effect.kind) {
      case 'persist':
        return this.persist(core, effect);
      case 'send': {
        const {message} = effect;
        return world.send(this.id, effect.to, {kind: 'request', message});
      }
      case 'reply':
        return this.reply(effect.ticket, effect.message);
      case 'apply':
        return this.apply(core, effect.entries);
      case 'restore':
        return this.restore(effect.snapshot);
      case 'proposed':
        this.placed.set(effect.index, this.proposals.get(effect.ticket) ?? '');
        return;
      case 'refused':
        return;
      case 'readReady':
        return this.barrierDone(effect.ticket, effect.index);
      case 'elected':
        return this.elected(effect.term);
      case 'leadershipLost':
        return this.placed.clear();
      case 'rejoin':
        this.wipe();
        return this.boot(false);
    }
  }

  private elected(term: number): void {
    const {incarnation = '', group = ''} = this.disk.durable?.hard ?? {};
    this.world.history.onElected(incarnation, group, term);
  }

  private persist(
    core: RaftCore,
    effect: Extract<CoreEffect, {kind: 'persist'}>
  ): void {
    const {world} = this;
    const due = world.now() + world.random.int(0, world.sizes.syncMs);
    this.disk.write(effect.seq, effect.writes, due);
    const {role, term} = core.status();
    if (role !== 'leader') return;
    for (const write of effect.writes) {
      if (write.kind !== 'append') continue;
      for (const entry of write.entries)
        if (entry.term === term && entry.body.kind === 'configuration')
          world.history.onConfigurationProposed(entry.body.configuration);
    }
  }

  private reply(ticket: number, message: CoreReply): void {
    const request = this.requests.get(ticket);
    if (request === undefined) return;
    this.requests.delete(ticket);
    this.world.history.onReply(request, message, this.disk);
    this.world.send(this.id, request.from, {kind: 'reply', message});
  }

  private apply(core: RaftCore, entries: readonly LogEntry[]): void {
    const inForce = {voters: core.status().voters};
    for (const entry of entries) {
      if (entry.index !== this.appliedIndex + 1)
        throw new BrokenPromise(`${this.id} skipped to ${entry.index}`);
      this.appliedIndex = entry.index;
      this.world.history.onApplied(this.id, entry, inForce);
      if (entry.body.kind === 'command' && entry.body.command.kind === 'fence')
        this.holders.push(entry.body.command.holder);
      const holder = this.placed.get(entry.index);
      if (holder !== undefined)
        this.world.history.onAccepted(holder, entry.index);
      this.placed.delete(entry.index);
    }
    this.snapshotIfDue();
  }

  private snapshotIfDue(): void {
    const grown = this.appliedIndex - this.snapshotIndex;
    if (grown < this.world.sizes.snapshotEntries) return;
    this.snapshotIndex = this.appliedIndex;
    const data = JSON.stringify(this.holders);
    const index = this.appliedIndex;
    this.deferred.push({kind: 'snapshotTaken', index, data});
  }

  private restore(snapshot: {
    readonly index: number;
    readonly data: string;
  }): void {
    this.world.history.onRestored(this.id, snapshot.index, snapshot.data);
    this.holders = JSON.parse(snapshot.data);
    this.appliedIndex = snapshot.index;
    this.snapshotIndex = snapshot.index;
  }

  private barrierDone(ticket: number, index: number): void {
    const before = this.barriers.get(ticket);
    this.barriers.delete(ticket);
    if (before === undefined) return;
    this.world.history.onBarrier(this.id, index, before);
    if (this.appliedIndex < index)
      throw new BrokenPromise(`${this.id} read at ${index} before applying it`);
  }
}
