/** One instance in the log model: Raft core, disk and state machine. */

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
import {InvariantViolation, type LogHistory} from './logHistory';
import {MemoryDisk} from './memoryDisk';
import type {SeededRandom} from './schedule';

/** Messages between instances. */
export type LogMessage =
  | {readonly kind: 'request'; readonly message: CoreRequest}
  | {readonly kind: 'reply'; readonly message: CoreReply};

/** Small limits that cause snapshots and catch-up in a short schedule. */
export interface LogSizes {
  readonly snapshotEntries: number;
  readonly trailingEntries: number;
  readonly batchEntries: number;
  readonly batchChars: number;
  readonly chunkChars: number;
  readonly syncMs: number;
}

/** Settings of the log that differ from the defaults of the model. */
export type LogSettings = Partial<
  Pick<CoreOptions, 'peerIds' | 'founders' | 'voterEviction' | 'voterLimit'>
>;

/** Clock, network and history that all instances share. */
export interface LogEnvironment {
  readonly ids: readonly string[];
  readonly random: SeededRandom;
  readonly history: LogHistory;
  readonly sizes: LogSizes;
  readonly timing: LogTiming;
  now(): number;
  settingsOf(id: string): LogSettings;
  /** Time without a reply after which its sender gives up; undefined for none. */
  readonly replyTimeoutMs: number | undefined;
  /** Duration of the next sync of one disk; undefined if drawn for each write. */
  syncMsOf(id: string): number | undefined;
  send(from: string, to: string, message: LogMessage): void;
}

/** Can crash, restart, pause and lose its disk like a real process. */
export class LogInstance {
  readonly disk = new MemoryDisk();
  private core: RaftCore | undefined;
  private paused = false;
  private backlog: CoreEvent[] = [];
  /** Events that effects raise; handled after the effects. */
  private deferred: CoreEvent[] = [];
  private incarnations = 0;
  /** Last ticket; requests, proposals and read barriers share the counter. */
  private tickets = 0;
  /** State of the state machine: the holder of each applied fence command. */
  private holders: string[] = [];
  private appliedIndex = 0;
  private snapshotIndex = 0;
  private requests = new Map<
    number,
    {readonly message: CoreRequest; readonly arrivedAt: number}
  >();
  /** Proposed holder by ticket. */
  private proposals = new Map<number, string>();
  /** Proposed holder by the log index of its entry. */
  private holderByIndex = new Map<number, string>();
  /** Committed index at the time of the read barrier, by ticket. */
  private barriers = new Map<number, number>();

  constructor(
    readonly id: string,
    private readonly environment: LogEnvironment
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
    this.clearPending();
    this.core = new RaftCore(
      this.options(),
      this.disk.durable,
      this.environment.now()
    );
  }

  /** The process dies; some of its unsynced writes may have become durable. */
  crash(): void {
    this.core = undefined;
    this.paused = false;
    this.backlog = [];
    this.disk.crash(this.environment.random.int(0, 4));
  }

  /** The process dies and its disk is lost. */
  wipe(): void {
    this.crash();
    this.disk.wipe();
  }

  pause(): void {
    this.paused = this.isUp;
  }

  /** Handles the events of the pause in order, at the present time. */
  resume(): void {
    this.paused = false;
    const events = this.backlog;
    this.backlog = [];
    for (const event of events) this.step(event);
  }

  step(event: CoreEvent): void {
    if (this.core === undefined) return;
    if (this.paused) {
      if (event.kind !== 'tick') this.backlog.push(event);
      return;
    }
    const {core} = this;
    for (const effect of core.step(event, this.environment.now())) {
      if (this.core !== core) return;
      this.perform(core, effect);
    }
    const next = this.deferred.shift();
    if (next !== undefined) this.step(next);
  }

  syncDisk(): void {
    if (this.core === undefined) return;
    const seq = this.disk.sync(this.environment.now());
    if (seq !== undefined) this.step({kind: 'synced', seq});
  }

  request(message: CoreRequest): void {
    const ticket = ++this.tickets;
    const arrivedAt = this.environment.now();
    this.requests.set(ticket, {message, arrivedAt});
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
    this.barriers.set(ticket, this.environment.history.committedIndex);
    this.step({kind: 'readBarrier', ticket});
  }

  private options(): CoreOptions {
    const {ids, random, sizes} = this.environment;
    return {
      id: this.id,
      peerIds: () => ids.filter(id => id !== this.id),
      random: () => random.next(),
      timing: this.environment.timing,
      batchEntries: sizes.batchEntries,
      batchChars: sizes.batchChars,
      chunkChars: sizes.chunkChars,
      trailingEntries: sizes.trailingEntries,
      ...this.environment.settingsOf(this.id),
    };
  }

  private freshState(mayFound: boolean): DurableState {
    const incarnation = `${this.id}/${++this.incarnations}`;
    const base = {index: 0, term: 0};
    return {hard: {incarnation, term: 0, mayFound}, base, entries: []};
  }

  private clearPending(): void {
    this.deferred = [];
    this.requests.clear();
    this.proposals.clear();
    this.holderByIndex.clear();
    this.barriers.clear();
  }

  private perform(core: RaftCore, effect: CoreEffect): void {
    const {environment} = this;
    switch (effect.kind) {
      case 'persist':
        return this.persist(core, effect);
      case 'send': {
        const {message} = effect;
        return environment.send(this.id, effect.to, {kind: 'request', message});
      }
      case 'reply':
        return this.reply(effect.ticket, effect.message);
      case 'apply':
        return this.apply(core, effect.entries);
      case 'restore':
        return this.restore(effect.snapshot);
      case 'proposed':
        this.holderByIndex.set(
          effect.index,
          this.proposals.get(effect.ticket) ?? ''
        );
        return;
      case 'refused':
        return;
      case 'readReady':
        return this.onReadReady(effect.ticket, effect.index);
      case 'elected':
        return this.elected(effect.term);
      case 'leadershipLost':
        return this.holderByIndex.clear();
      case 'rejoin':
        this.wipe();
        return this.boot(false);
    }
  }

  private elected(term: number): void {
    const {incarnation = '', group = ''} = this.disk.durable?.hard ?? {};
    this.environment.history.onElected(incarnation, group, term);
  }

  private persist(
    core: RaftCore,
    effect: Extract<CoreEffect, {kind: 'persist'}>
  ): void {
    const {environment} = this;
    this.disk.write(effect.seq, effect.writes, this.nextSyncAt());
    const {role, term} = core.status();
    if (role !== 'leader') return;
    for (const write of effect.writes) {
      if (write.kind !== 'append') continue;
      for (const entry of write.entries)
        if (entry.term === term && entry.body.kind === 'configuration')
          environment.history.onConfigurationProposed(entry.body.configuration);
    }
  }

  private nextSyncAt(): number {
    const {environment, disk, id} = this;
    const now = environment.now();
    const syncMs = environment.syncMsOf(id);
    return syncMs === undefined
      ? now + environment.random.int(0, environment.sizes.syncMs)
      : disk.nextSyncAt(now, syncMs);
  }

  private reply(ticket: number, message: CoreReply): void {
    const {environment, requests} = this;
    const request = requests.get(ticket);
    if (request === undefined) return;
    requests.delete(ticket);
    environment.history.onReply(request.message, message, this.disk);
    const waitedMs = environment.now() - request.arrivedAt;
    if (waitedMs > (environment.replyTimeoutMs ?? Infinity)) return;
    const to = request.message.from;
    environment.send(this.id, to, {kind: 'reply', message});
  }

  private apply(core: RaftCore, entries: readonly LogEntry[]): void {
    const activeConfiguration = {voters: core.status().voters};
    for (const entry of entries) {
      if (entry.index !== this.appliedIndex + 1)
        throw new InvariantViolation(
          `${this.id} skipped entries before ${entry.index}`
        );
      this.appliedIndex = entry.index;
      this.environment.history.onApplied(this.id, entry, activeConfiguration);
      if (entry.body.kind === 'command' && entry.body.command.kind === 'fence')
        this.holders.push(entry.body.command.holder);
      const holder = this.holderByIndex.get(entry.index);
      if (holder !== undefined)
        this.environment.history.onAccepted(holder, entry.index);
      this.holderByIndex.delete(entry.index);
    }
    this.snapshotIfDue();
  }

  private snapshotIfDue(): void {
    const entriesSinceSnapshot = this.appliedIndex - this.snapshotIndex;
    if (entriesSinceSnapshot < this.environment.sizes.snapshotEntries) return;
    this.snapshotIndex = this.appliedIndex;
    const data = JSON.stringify(this.holders);
    const index = this.appliedIndex;
    this.deferred.push({kind: 'snapshotTaken', index, data});
  }

  private restore(snapshot: {
    readonly index: number;
    readonly data: string;
  }): void {
    this.environment.history.onRestored(this.id, snapshot.index, snapshot.data);
    this.holders = JSON.parse(snapshot.data);
    this.appliedIndex = snapshot.index;
    this.snapshotIndex = snapshot.index;
  }

  private onReadReady(ticket: number, index: number): void {
    const committedBefore = this.barriers.get(ticket);
    this.barriers.delete(ticket);
    if (committedBefore === undefined) return;
    this.environment.history.onBarrier(this.id, index, committedBefore);
    if (this.appliedIndex < index)
      throw new InvariantViolation(
        `${this.id} finished a read barrier before it applied index ${index}`
      );
  }
}
