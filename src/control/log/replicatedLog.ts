/** Interface of the replicated log, and of the state machine that it drives. */

import type {Observable} from 'rxjs';
import type {Command, CommandResult} from '../state/command';
import type {Voter} from './entry';

/** Role of this instance in the current term. */
export type LogRole = 'leader' | 'follower' | 'candidate' | 'learner';

/** Status of the log, for status pages and polls. */
export interface LogStatus {
  readonly role: LogRole;
  readonly term: number;
  readonly leaderId?: string;
  readonly commitIndex: number;
  readonly lastIndex: number;
  /**
   * Whether this instance votes. A wiped one does only after it has caught up.
   */
  readonly voter: boolean;
  readonly voterIds: readonly string[];
  /** Random id of the state on this instance's disk. */
  readonly incarnation: string;
  /** The voting members. Quorums count incarnations. */
  readonly voters: readonly Voter[];
}

/**
 * A log of commands. A command is committed once a quorum has synced it, and
 * only then does its proposer get a result.
 */
export interface ReplicatedLog {
  /**
   * Resolves with the state machine's result once the command is committed and
   * applied locally. Rejects with PeerError `rejected` and the leader's id if
   * this instance is not the leader, or `lost` if its leadership ended before
   * the outcome was known.
   */
  propose(command: Command): Promise<CommandResult>;
  /**
   * Resolves once all entries committed before the call are applied locally.
   */
  readBarrier(): Promise<void>;
  status(): LogStatus;
  readonly status$: Observable<LogStatus>;
  /** Commands in the local log that are not known to be committed. */
  uncommitted(): readonly Command[];
  /** Handles a peer's request and resolves with the reply to it. */
  receive(message: unknown): Promise<unknown>;
  close(): Promise<void>;
}

/** The deterministic state machine to which the log applies commands. */
export interface StateMachine {
  apply(command: Command, index: number): CommandResult;
  /** Serializes the whole state to a JSON string. */
  snapshot(): string;
  restore(snapshot: string): void;
}
