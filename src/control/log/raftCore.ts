/**
 * The Raft core: a deterministic state machine that turns events into effects.
 * It performs no I/O and has no clock, so the same events produce the same
 * effects.
 */

import {unreachable} from '../../core/errors';
import type {Command} from '../state/command';
import {noteRemovedVoter} from './audience';
import {onSnapshotTaken} from './commit';
import type {CoreEffect, CoreEvent, CoreOptions} from './coreEvents';
import {CoreState} from './coreState';
import {
  forgetLostLeader,
  onResign,
  onVoteReply,
  onVoteRequest,
  resign,
  startPreVote,
} from './election';
import {noteVoteReply, reportStalledElection} from './electionWatch';
import type {DurableState} from './entry';
import {onAppend} from './followerLog';
import {onSnapshot} from './followerSnapshot';
import {GroupFounding, onHelloRequest} from './founding';
import type {CoreReply, CoreRequest} from './messages';
import {onReadBarrier} from './readIndex';
import {
  appendAsLeader,
  onHelloReply,
  onProgress,
  onSendFailed,
  onStrangerReply,
  tickLeader,
} from './replication';
import type {LogStatus} from './replicatedLog';

/** The Raft core of one instance. */
export class RaftCore {
  private readonly state: CoreState;
  private readonly founding: GroupFounding;

  constructor(options: CoreOptions, durable: DurableState, nowMs: number) {
    this.state = new CoreState(options, durable, nowMs);
    this.founding = new GroupFounding(this.state);
  }

  /** Handles one event and returns its effects, to be performed in order. */
  step(event: CoreEvent, nowMs: number): readonly CoreEffect[] {
    this.state.effects = [];
    this.state.now = nowMs;
    // Timers run first: a leader that was paused must step down before it
    // handles events that arrived during the pause.
    this.tick();
    this.handle(event);
    return this.state.effects;
  }

  status(): LogStatus {
    const {state} = this;
    return {
      role: state.role,
      term: state.term,
      leaderId: state.leaderId,
      commitIndex: state.commitIndex,
      lastIndex: state.log.lastIndex,
      voter: state.isVoter,
      voterIds: state.voters.map(({id}) => id),
      incarnation: state.incarnation,
      voters: state.voters,
    };
  }

  /** Commands in the log after the commit index. */
  uncommitted(): readonly Command[] {
    const {log, commitIndex} = this.state;
    return log
      .between(commitIndex, log.lastIndex)
      .flatMap(({body}) => (body.kind === 'command' ? [body.command] : []));
  }

  private tick(): void {
    const {state} = this;
    forgetLostLeader(state);
    if (state.leadership !== undefined) tickLeader(state, state.leadership);
    else if (state.isEmpty) this.founding.tick();
    else if (this.isElectionDue()) startPreVote(state);
    reportStalledElection(state);
  }

  /**
   * Whether to stand for election. Until a vote is durable it counts for nobody,
   * and another term would need yet another sync: while syncs take longer than the
   * retry timeout, no vote would ever be counted.
   */
  private isElectionDue(): boolean {
    const {state} = this;
    if (!state.isVoter || state.isHardStatePending) return false;
    return state.now >= state.electionDeadline;
  }

  private handle(event: CoreEvent): void {
    const {state} = this;
    switch (event.kind) {
      case 'tick':
        return;
      case 'request':
        return this.onRequest(event.ticket, event.message);
      case 'reply':
        return this.onReply(event.from, event.message);
      case 'sendFailed':
        if ('seq' in event.message)
          onSendFailed(state, event.to, event.message.seq);
        return;
      case 'synced':
        return state.onSynced(event.seq);
      case 'propose':
        return this.onPropose(event.ticket, event.command);
      case 'readBarrier':
        return onReadBarrier(state, event.ticket);
      case 'resign':
        return resign(state);
      case 'snapshotTaken':
        return onSnapshotTaken(state, event.index, event.data);
      default:
        return unreachable(event);
    }
  }

  private onRequest(ticket: number, message: CoreRequest): void {
    const {state} = this;
    if (message.kind === 'hello') return onHelloRequest(state, ticket, message);
    if (this.rejectMisaddressed(ticket, message)) return;
    switch (message.kind) {
      case 'preVote':
      case 'vote':
        return onVoteRequest(state, ticket, message);
      case 'resign':
        return onResign(state, ticket, message);
      case 'append':
        return onAppend(state, ticket, message);
      case 'snapshot':
        return onSnapshot(state, ticket, message);
      default:
        return unreachable(message);
    }
  }

  /** Rejects requests addressed to another incarnation or group. */
  private rejectMisaddressed(
    ticket: number,
    message: Exclude<CoreRequest, {kind: 'hello'}>
  ): boolean {
    const {state} = this;
    const {group} = state.hard;
    const addressed = message.toIncarnation === state.incarnation;
    const sameGroup = state.isEmpty || group === message.group;
    if (addressed && sameGroup) return false;
    if (message.kind === 'preVote' && sameGroup)
      noteRemovedVoter(state, message.from, message.fromIncarnation);
    if (addressed) this.abandonFailedFounding(message);
    state.reply(ticket, {
      kind: 'stranger',
      incarnation: state.incarnation,
      addressed: message.toIncarnation,
      group,
    });
    return true;
  }

  /**
   * Discards a log that a failed founding left behind. If another group has
   * committed an entry, this group never has and never will.
   */
  private abandonFailedFounding(message: CoreRequest): void {
    if (message.kind !== 'append' || message.commitIndex === 0) return;
    if (this.state.commitIndex > 0) return;
    this.state.emit({kind: 'rejoin', reason: 'another group was founded'});
  }

  private onReply(from: string, message: CoreReply): void {
    const {state} = this;
    noteVoteReply(state, from, message);
    switch (message.kind) {
      case 'hello':
        if (state.leadership !== undefined)
          return onHelloReply(state, from, message);
        return this.founding.onHelloReply(from, message);
      case 'vote':
        return onVoteReply(state, message);
      case 'progress':
        return onProgress(state, from, message);
      case 'stranger':
        return onStrangerReply(state, from, message);
      case 'resign':
        return;
      default:
        return unreachable(message);
    }
  }

  private onPropose(ticket: number, command: Command): void {
    const {state} = this;
    const {leadership, leaderId} = state;
    if (leadership === undefined) {
      state.emit({kind: 'refused', ticket, leaderId});
      return;
    }
    const index = appendAsLeader(state, {kind: 'command', command});
    state.emit({kind: 'proposed', ticket, index});
  }
}
