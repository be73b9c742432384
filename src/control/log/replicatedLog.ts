/** What the rest of a control instance needs of the replicated log. */

import type {Observable} from 'rxjs';
import type {Command, CommandResult} from '../state/command';
import type {Voter} from './entry';

/** Role of this instance in the current term. */
export type LogRole = 'leader' | 'follower' | 'candidate' | 'learner';

/** A view of the log for status pages and polls. */
export interface LogStatus {
  readonly role: LogRole;
  readonly term: number;
  readonly leaderId?: string;
  readonly commitIndex: number;
  readonly lastIndex: number;
  /** Whether this instance has a vote: false until a wiped one is whole. */
  readonly voter: boolean;
  readonly voterIds: readonly string[];
  /** Random name of what stands on this instance's disk. */
  readonly incarnation: string;
  /** The voting members; quorums count their incarnations. */
  readonly voters: readonly Voter[];
}

/** Commands agreed on a quorum and synced there before any answer. */
export interface ReplicatedLog {
  /**
   * Resolves with the state machine's result once committed and applied here.
   * Rejects with PeerError `rejected` and the leader's id when this instance
   * does not lead, or `lost` when leadership ended before the outcome was
   * known.
   */
  propose(command: Command): Promise<CommandResult>;
  /** Resolves once everything committed before the call is applied here. */
  readBarrier(): Promise<void>;
  status(): LogStatus;
  readonly status$: Observable<LogStatus>;
  /** Commands held in the log that are not known to be committed. */
  uncommitted(): readonly Command[];
  /** Handles a peer's message; the answer goes back to that peer. */
  receive(message: unknown): Promise<unknown>;
  close(): Promise<void>;
}

/** The deterministic state that the log drives. */
export interface StateMachine {
  apply(command: Command, index: number): CommandResult;
  /** The whole state, as one JSON string. */
  snapshot(): string;
  restore(snapshot: string): void;
}
