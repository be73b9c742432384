/** Runs the Raft core: connects it to timers, peers, disk and state machine. */

import type {Observable, Subscription} from 'rxjs';
import {BehaviorSubject, firstValueFrom, interval, timer} from 'rxjs';
import {PeerError, unreachable} from '../../core/errors';
import type {Command, CommandResult} from '../state/command';
import type {LogLimits, LogPeers, ReplicatedLogOptions} from './logOptions';
import type {CoreEffect, CoreEvent, LogTiming} from './coreEvents';
import type {ElectionStall} from './electionWatch';
import type {DurableState, LogEntry} from './entry';
import {LinearizableReads} from './linearizableReads';
import {LogApplier} from './logApplier';
import type {LogStorage} from './logStorage';
import {LogWriter} from './logWriter';
import type {CoreReply, CoreRequest, PeerReply, PeerRequest} from './messages';
import {PEER_REPLY, PEER_REQUEST} from './messages';
import {NotLeaderError} from './notLeaderError';
import {PendingCalls} from './pendingCalls';
import {RaftCore} from './raftCore';
import type {LogStatus, ReplicatedLog} from './replicatedLog';
import type {VoterChange} from './voterChange';

const TICK_MS = 25;
/** Maximum wait at shutdown for peers to receive the resignation. */
const RESIGN_TIMEOUT_MS = 200;
const BAD_MESSAGE_CODE = 400;
const NOT_RUNNING_CODE = 503;

/** Options with all defaults filled in. */
export interface LogDriverOptions extends ReplicatedLogOptions {
  readonly timing: LogTiming;
  readonly limits: LogLimits;
  /** Sets the stored log aside and creates a new incarnation. */
  readonly resetStorage: () => Promise<DurableState>;
}

/** The running log of one instance. */
export class LogDriver implements ReplicatedLog {
  private core: RaftCore;
  private readonly writer: LogWriter;
  private readonly peers: LogPeers;
  private readonly calls = new PendingCalls();
  private readonly answers = new Map<number, (reply: PeerReply) => void>();
  private readonly ticks: Subscription;
  private readonly statusSubject: BehaviorSubject<LogStatus>;
  private readonly events: CoreEvent[] = [];
  private readonly pendingResigns: Promise<unknown>[] = [];
  private handling = false;
  /** While false, events are dropped and calls are rejected. */
  private running = true;
  private closed = false;
  private nextRequest = 1;
  private readonly applier: LogApplier;
  private readonly reads: LinearizableReads;

  constructor(
    private readonly options: LogDriverOptions,
    private readonly storage: LogStorage,
    durable: DurableState
  ) {
    this.peers = options.peers;
    this.writer = new LogWriter(storage, err => this.fail(err));
    const {stateMachine, limits} = options;
    this.applier = new LogApplier(stateMachine, this.calls, limits);
    if (durable.snapshot !== undefined) this.applier.restore(durable.snapshot);
    this.reads = new LinearizableReads({
      instanceId: options.id,
      peers: this.peers,
      calls: this.calls,
      applier: this.applier,
      status: () => this.core.status(),
      startBarrier: ticket => this.handle({kind: 'readBarrier', ticket}),
    });
    this.core = this.createCore(durable);
    this.statusSubject = new BehaviorSubject(this.core.status());
    this.ticks = interval(TICK_MS).subscribe(() => this.handle({kind: 'tick'}));
  }

  get status$(): Observable<LogStatus> {
    return this.statusSubject.asObservable();
  }

  status(): LogStatus {
    return this.core.status();
  }

  uncommitted(): readonly Command[] {
    return this.core.uncommitted();
  }

  async propose(command: Command): Promise<CommandResult> {
    this.assertRunning('propose');
    return this.calls.proposal(ticket =>
      this.handle({kind: 'propose', ticket, command})
    );
  }

  async readBarrier(): Promise<void> {
    this.assertRunning('readBarrier');
    await this.reads.readBarrier();
  }

  async receive(message: unknown): Promise<unknown> {
    this.assertRunning('receive');
    const parsed = PEER_REQUEST.safeParse(message);
    if (parsed.success) return this.answer(parsed.data);
    const detail = parsed.error.message;
    this.options.logger.warn(
      {step: 'receive', detail},
      'rejected a malformed message of a peer'
    );
    throw new PeerError(
      {kind: 'rejected', code: BAD_MESSAGE_CODE},
      'receive',
      this.options.id,
      detail
    );
  }

  async close(): Promise<void> {
    this.handle({kind: 'resign'});
    await Promise.race([
      Promise.allSettled(this.pendingResigns),
      firstValueFrom(timer(RESIGN_TIMEOUT_MS)),
    ]);
    this.stop(
      new PeerError(
        {kind: 'lost'},
        'close',
        this.options.id,
        'the log was closed'
      )
    );
    await this.writer.idle();
    await this.storage.close();
  }

  private createCore(durable: DurableState): RaftCore {
    const {id, peers, random, timing, limits, founders} = this.options;
    const {voterEviction, voterLimit} = this.options;
    return new RaftCore(
      {
        id,
        peerIds: () => peers.ids(),
        founders,
        voterEviction,
        voterLimit,
        random,
        timing,
        batchEntries: limits.batchEntries,
        batchChars: limits.batchChars,
        chunkChars: limits.chunkChars,
        trailingEntries: limits.trailingEntries,
      },
      durable,
      performance.now()
    );
  }

  private async answer(message: PeerRequest): Promise<PeerReply> {
    if (message.kind === 'readIndex') return this.reads.answer();
    return new Promise(resolve => {
      const ticket = this.nextRequest++;
      this.answers.set(ticket, resolve);
      this.handle({kind: 'request', ticket, message});
    });
  }

  /** Handles events one at a time; performing effects may queue more events. */
  private handle(event: CoreEvent): void {
    if (!this.running) return;
    this.events.push(event);
    if (this.handling) return;
    this.handling = true;
    try {
      this.drain();
    } catch (err) {
      this.fail(err);
    } finally {
      this.handling = false;
    }
  }

  private drain(): void {
    for (;;) {
      const event = this.events.shift();
      if (event === undefined || !this.running) return;
      for (const effect of this.core.step(event, performance.now()))
        this.perform(effect);
      this.publishStatus();
    }
  }

  private perform(effect: CoreEffect): void {
    switch (effect.kind) {
      case 'persist':
        return this.persist(effect);
      case 'send':
        return this.send(effect.to, effect.message);
      case 'reply':
        return this.reply(effect.ticket, effect.message);
      case 'apply':
        return this.apply(effect.entries);
      case 'restore':
        return this.applier.restore(effect.snapshot);
      case 'proposed':
        return this.calls.markAppended(effect.ticket, effect.index);
      case 'refused':
        return this.rejectNotLeader(effect.ticket, effect.leaderId);
      case 'readReady':
        return this.calls.ready(effect.ticket, effect.index);
      case 'elected':
        return this.reportElected(effect.term);
      case 'electionStalled':
        return this.logStall(effect.stall);
      case 'votersChanged':
        return this.logVoterChange(effect.change);
      case 'leadershipLost':
        return this.rejectOpenProposals();
      case 'rejoin':
        return this.rejoin(effect.reason);
      default:
        return unreachable(effect);
    }
  }

  private persist(effect: Extract<CoreEffect, {kind: 'persist'}>): void {
    const {core} = this;
    this.writer.write(effect.writes, () => {
      this.options.metrics?.count('log.synced');
      if (core === this.core) this.handle({kind: 'synced', seq: effect.seq});
    });
  }

  private send(to: string, message: CoreRequest): void {
    const peer = this.peers.find(to);
    if (peer === undefined) return;
    const pendingReply = peer.send(message);
    // A process that exits at once would lose the message, so close() waits for
    // it.
    if (message.kind === 'resign') this.pendingResigns.push(pendingReply);
    pendingReply.then(
      reply => this.onPeerReply(to, message, reply),
      () => this.handle({kind: 'sendFailed', to, message})
    );
  }

  private onPeerReply(
    to: string,
    message: CoreRequest,
    rawReply: unknown
  ): void {
    const parsed = PEER_REPLY.safeParse(rawReply);
    if (!parsed.success) {
      this.options.logger.warn(
        {step: message.kind, peer: to},
        'ignored a malformed reply of a peer'
      );
      this.handle({kind: 'sendFailed', to, message});
      return;
    }
    const reply = parsed.data;
    if (reply.kind === 'readIndex' || reply.kind === 'notLeader') return;
    this.handle({kind: 'reply', from: to, message: reply});
  }

  private reply(ticket: number, message: CoreReply): void {
    this.answers.get(ticket)?.(message);
    this.answers.delete(ticket);
  }

  private apply(entries: readonly LogEntry[]): void {
    this.applier.apply(entries);
    const taken = this.applier.snapshotIfDue(this.storage.bytesSinceSnapshot);
    if (taken !== undefined) this.handle({kind: 'snapshotTaken', ...taken});
  }

  private rejectNotLeader(ticket: number, leaderId: string | undefined): void {
    const err = new NotLeaderError('propose', this.options.id, leaderId);
    this.calls.rejectTicket(ticket, err);
  }

  private reportElected(term: number): void {
    this.options.metrics?.count('log.elected');
    this.options.logger.info(
      {step: 'election', term},
      'this instance became the leader'
    );
  }

  private logStall(stall: ElectionStall): void {
    const {leaderlessMs, granted, quorum} = stall;
    this.options.logger.warn(
      {event: 'election.stalled', ...stall},
      `no leader for ${Math.round(leaderlessMs)} ms: ${granted.length} of ${quorum} votes`
    );
  }

  private logVoterChange(change: VoterChange): void {
    const {kind, id, reason} = change;
    this.options.logger.info(
      {event: 'voters.changed', ...change},
      `voter ${id} ${kind}: ${reason}`
    );
  }

  private rejectOpenProposals(): void {
    this.options.logger.warn(
      {step: 'election'},
      'this instance lost leadership'
    );
    this.calls.rejectAppended(
      new PeerError(
        {kind: 'lost'},
        'propose',
        this.options.id,
        'leadership ended before the outcome was known'
      )
    );
  }

  /** Discards the log of a failed founding, to join the group that exists. */
  private rejoin(reason: string): void {
    if (this.closed) return;
    this.options.logger.error(
      {step: 'rejoin', reason},
      'discarding the local log and rejoining as a new incarnation'
    );
    this.running = false;
    this.events.length = 0;
    this.answers.clear();
    this.writer.stop();
    this.writer
      .idle()
      .then(() => this.options.resetStorage())
      .then(durable => {
        if (this.closed) return;
        this.core = this.createCore(durable);
        this.running = true;
        this.publishStatus();
      })
      .catch((err: unknown) => this.fail(err));
  }

  private publishStatus(): void {
    const next = this.core.status();
    if (!sameStatus(this.statusSubject.value, next))
      this.statusSubject.next(next);
  }

  private fail(err: unknown): void {
    if (this.closed) return;
    this.options.logger.fatal(
      {step: 'log', err},
      'the replicated log stopped after a fatal error'
    );
    this.stop(err);
    this.options.onFatal(err);
  }

  private stop(err: unknown): void {
    this.running = false;
    this.closed = true;
    this.ticks.unsubscribe();
    this.writer.stop();
    this.calls.rejectAll(err);
    this.answers.clear();
    this.statusSubject.complete();
  }

  private assertRunning(step: string): void {
    if (this.running) return;
    throw new PeerError(
      {kind: 'rejected', code: NOT_RUNNING_CODE},
      step,
      this.options.id,
      'the log is not running'
    );
  }
}

function sameStatus(a: LogStatus, b: LogStatus): boolean {
  return (
    a.role === b.role &&
    a.term === b.term &&
    a.leaderId === b.leaderId &&
    a.commitIndex === b.commitIndex &&
    a.lastIndex === b.lastIndex &&
    a.voters === b.voters &&
    a.incarnation === b.incarnation
  );
}
