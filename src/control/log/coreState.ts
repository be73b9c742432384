/** State of the Raft core, and the operations that its modules share. */

import type {CoreEffect, CoreOptions} from './coreEvents';
import type {
  DurableState,
  HardState,
  LogEntry,
  LogSnapshot,
  LogWrite,
  Voter,
} from './entry';
import {VoteRecord} from './electionWatch';
import {quorumOf} from './entry';
import {EntryLog} from './entryLog';
import type {MemberContact} from './memberContact';
import type {CoreReply} from './messages';
import type {LogRole} from './replicatedLog';

/** Replication state of one peer, as tracked by the leader. */
export interface PeerProgress {
  /** The peer's current incarnation, once known. */
  incarnation?: string;
  nextIndex: number;
  /** The peer has synced its log up to this index. */
  matchIndex: number;
  /** Sequence number of the outstanding append or snapshot request. */
  inFlight?: number;
  inFlightSince: number;
  /** Snapshot being sent, kept until the peer has all of it. */
  transfer?: {readonly snapshot: LogSnapshot; readonly offset: number};
  /** Leader's clock when the last reply arrived. */
  lastReplyAt: number;
  /** Leader's clock when it sent the latest request that was answered. */
  ackedSentAt: number;
  /** Highest read round that the peer has confirmed. */
  ackedRound: number;
}

/** State that exists only while this instance is the leader. */
export interface Leadership {
  readonly progress: Map<string, PeerProgress>;
  /**
   * Index of the no-op entry that starts the term. Committing it also commits
   * all entries of earlier terms.
   */
  readonly noopIndex: number;
  nextHeartbeatAt: number;
  /**
   * Number of the latest read round. In a read round a quorum confirms by its
   * replies that this instance is still the leader.
   */
  round: number;
  /** Read barriers that the latest round will confirm. */
  roundTickets: readonly number[];
  /** Read barriers requested after the latest round started. */
  waitingTickets: readonly number[];
  readonly contact: MemberContact;
  /** With a voter limit: the instance that is about to become a voter. */
  candidate?: string;
  /** With a voter limit: leader's clock when a candidate did not reply, by id. */
  readonly passedOverAt: Map<string, number>;
  /**
   * With a voter limit: index of the configuration without the voter, by the id
   * of a removed voter that may not know of it.
   */
  readonly removedAt: Map<string, number>;
}

/** Phase of an election, with the incarnations that granted a pre-vote. */
export type Candidacy =
  | {readonly phase: 'preVote'; readonly granted: Set<string>}
  | {readonly phase: 'vote'};

/** A leader's snapshot that has been received in part. */
export interface IncomingSnapshot {
  /**
   * Identifies sender, term and snapshot. A chunk with another key starts a new
   * transfer.
   */
  readonly key: string;
  readonly data: string;
}

interface DeferredUntilSynced {
  readonly seq: number;
  readonly run: () => void;
}

interface UnsyncedTail {
  readonly seq: number;
  lastIndex: number;
}

/** Mutable state of one instance; the modules beside it implement the rules. */
export class CoreState {
  readonly log: EntryLog;
  now = 0;
  effects: CoreEffect[] = [];
  commitIndex: number;
  leaderId: string | undefined;
  lastLeaderContact = -Infinity;
  electionDeadline = 0;
  /** Until when the other voters may still store their votes of the current term. */
  votingUntil = -Infinity;
  leadership: Leadership | undefined;
  candidacy: Candidacy | undefined;
  /**
   * Incarnations that voted for this instance in the current term; undefined until
   * its own vote is durable, and once it leads or follows.
   */
  ballot: Set<string> | undefined;
  readonly voteRecord = new VoteRecord();
  /** Snapshot that is being received. */
  incoming: IncomingSnapshot | undefined;
  /** Sequence number of the last request sent; numbers are never reused. */
  requestSeq = 0;
  /** Instances outside the configuration that were asked for pre-votes. */
  askedOthers = 0;
  /** Entries up to this index are durable on the local disk. */
  syncedIndex: number;
  private hardState: HardState;
  private writeSeq = 0;
  private syncedSeq = 0;
  private hardStateSeq = 0;
  private deferred: DeferredUntilSynced[] = [];
  private unsyncedTails: UnsyncedTail[] = [];

  constructor(
    readonly options: CoreOptions,
    durable: DurableState,
    nowMs: number
  ) {
    this.log = new EntryLog(durable);
    this.hardState = durable.hard;
    this.commitIndex = durable.snapshot?.index ?? 0;
    this.syncedIndex = this.log.lastIndex;
    this.now = nowMs;
    this.electionDeadline = this.firstElectionDeadline();
    // A single voter has no other leader to wait for.
    if (this.isVoter && this.voters.length === 1) this.electionDeadline = nowMs;
  }

  /**
   * Raft's hard state, incarnation and group, as last issued for writing; the
   * write may not be durable yet.
   */
  get hard(): HardState {
    return this.hardState;
  }

  get term(): number {
    return this.hardState.term;
  }

  get incarnation(): string {
    return this.hardState.incarnation;
  }

  get voters(): readonly Voter[] {
    return this.log.configuration().configuration.voters;
  }

  /** Whether the current incarnation of this instance has a vote. */
  get isVoter(): boolean {
    return this.voters.some(voter => this.isSelf(voter));
  }

  /** Whether the log holds no entry and no snapshot. */
  get isEmpty(): boolean {
    return this.log.lastIndex === 0;
  }

  get role(): LogRole {
    if (this.leadership !== undefined) return 'leader';
    if (this.candidacy !== undefined) return 'candidate';
    return this.isVoter ? 'follower' : 'learner';
  }

  isSelf(voter: Voter): boolean {
    return (
      voter.id === this.options.id && voter.incarnation === this.incarnation
    );
  }

  /** Whether the voters that pass `test` form a quorum. */
  hasQuorum(test: (voter: Voter) => boolean): boolean {
    const voters = this.voters;
    const count = voters.filter(test).length;
    return voters.length > 0 && count >= quorumOf(voters.length);
  }

  /** Whether the term or vote as last issued is not durable yet. */
  get isHardStatePending(): boolean {
    return this.hardStateSeq > this.syncedSeq;
  }

  emit(effect: CoreEffect): void {
    this.effects.push(effect);
  }

  /** Starts a durable write and returns its sequence number. */
  persist(...writes: readonly LogWrite[]): number {
    this.writeSeq++;
    this.emit({kind: 'persist', seq: this.writeSeq, writes});
    return this.writeSeq;
  }

  setHardState(change: Partial<HardState>): void {
    this.hardState = {...this.hardState, ...change};
    this.hardStateSeq = this.persist({kind: 'hardState', hard: this.hardState});
  }

  /** Appends entries, replacing all from the first one's index on. */
  append(entries: readonly LogEntry[]): void {
    const first = entries[0];
    if (first === undefined) return;
    this.log.append(entries);
    this.syncedIndex = Math.min(this.syncedIndex, first.index - 1);
    for (const tail of this.unsyncedTails)
      tail.lastIndex = Math.min(tail.lastIndex, first.index - 1);
    const seq = this.persist({kind: 'append', entries});
    this.unsyncedTails.push({seq, lastIndex: this.log.lastIndex});
  }

  /**
   * Updates the synced index after a leader's snapshot replaced the whole log;
   * `seq` is the write that stores it.
   */
  trackLogReset(seq: number): void {
    this.syncedIndex = 0;
    this.unsyncedTails = [{seq, lastIndex: this.log.lastIndex}];
  }

  /** Calls `run` once all writes issued so far are durable. */
  whenAllSynced(run: () => void): void {
    this.whenSynced(this.writeSeq, run);
  }

  /** Sends a reply once the term and vote that it states are durable. */
  reply(ticket: number, message: CoreReply): void {
    this.whenSynced(this.hardStateSeq, () =>
      this.emit({kind: 'reply', ticket, message})
    );
  }

  /**
   * Like `reply`, for a reply that confirms storage of entries up to `index`.
   */
  replyWhenStored(ticket: number, index: number, message: CoreReply): void {
    const run = () => this.emit({kind: 'reply', ticket, message});
    if (index > this.syncedIndex) this.whenAllSynced(run);
    else this.whenSynced(this.hardStateSeq, run);
  }

  onSynced(seq: number): void {
    this.syncedSeq = Math.max(this.syncedSeq, seq);
    for (const tail of this.unsyncedTails)
      if (tail.seq <= seq)
        this.syncedIndex = Math.max(this.syncedIndex, tail.lastIndex);
    this.unsyncedTails = this.unsyncedTails.filter(tail => tail.seq > seq);
    const due = this.deferred.filter(item => item.seq <= seq);
    this.deferred = this.deferred.filter(item => item.seq > seq);
    for (const item of due) item.run();
  }

  private firstElectionDeadline(): number {
    const {electionMinMs, electionMaxMs, firstElectionMaxMs} =
      this.options.timing;
    return firstElectionMaxMs === undefined
      ? this.randomDeadline(electionMinMs, electionMaxMs)
      : this.randomDeadline(0, firstElectionMaxMs);
  }

  resetElectionTimer(): void {
    const {electionMinMs, electionMaxMs} = this.options.timing;
    this.electionDeadline = this.randomDeadline(electionMinMs, electionMaxMs);
  }

  /**
   * Sets the shorter timeout of a candidate, which has no leader to wait for,
   * only other candidates to avoid.
   */
  startRetryTimer(): void {
    const {electionMinMs} = this.options.timing;
    this.electionDeadline = this.randomDeadline(
      electionMinMs / 2,
      electionMinMs * 1.5
    );
  }

  private randomDeadline(minMs: number, maxMs: number): number {
    return this.now + minMs + this.options.random() * (maxMs - minMs);
  }

  private whenSynced(seq: number, run: () => void): void {
    if (seq <= this.syncedSeq) run();
    else this.deferred.push({seq, run});
  }
}
