/**
 * Inputs (events) and outputs (effects) of the Raft core, and its options.
 *
 * A ticket is a number that the driver assigns to a peer request, a proposal
 * or a read barrier. The effect that completes it carries the same ticket.
 */

import type {Command} from '../state/command';
import type {ElectionStall} from './electionWatch';
import type {LogEntry, LogSnapshot, LogWrite} from './entry';
import type {VoterEviction, VoterLimit} from './logOptions';
import type {CoreReply, CoreRequest} from './messages';
import type {VoterChange} from './voterChange';

/** An input of the core. Each is passed in with the current time. */
export type CoreEvent =
  | {readonly kind: 'tick'}
  | {
      readonly kind: 'request';
      readonly ticket: number;
      readonly message: CoreRequest;
    }
  | {readonly kind: 'reply'; readonly from: string; readonly message: CoreReply}
  /** No reply came to the request; it may have taken effect all the same. */
  | {
      readonly kind: 'sendFailed';
      readonly to: string;
      readonly message: CoreRequest;
    }
  /** All writes up to and including this sequence number are durable. */
  | {readonly kind: 'synced'; readonly seq: number}
  | {
      readonly kind: 'propose';
      readonly ticket: number;
      readonly command: Command;
    }
  | {readonly kind: 'readBarrier'; readonly ticket: number}
  /** This instance is about to stop and gives up leadership. */
  | {readonly kind: 'resign'}
  /** The state machine took a snapshot right after applying `index`. */
  | {
      readonly kind: 'snapshotTaken';
      readonly index: number;
      readonly data: string;
    };

/** An action for the driver. Actions are performed in the order given. */
export type CoreEffect =
  | {
      readonly kind: 'persist';
      readonly seq: number;
      readonly writes: readonly LogWrite[];
    }
  | {
      readonly kind: 'send';
      readonly to: string;
      readonly message: CoreRequest;
    }
  | {
      readonly kind: 'reply';
      readonly ticket: number;
      readonly message: CoreReply;
    }
  | {readonly kind: 'apply'; readonly entries: readonly LogEntry[]}
  | {readonly kind: 'restore'; readonly snapshot: LogSnapshot}
  /** The leader appended the proposal at `index`; it is not committed yet. */
  | {
      readonly kind: 'proposed';
      readonly ticket: number;
      readonly index: number;
    }
  /**
   * The proposal or read barrier was rejected because this instance is not the
   * leader, or stopped being the leader before the barrier completed.
   */
  | {
      readonly kind: 'refused';
      readonly ticket: number;
      readonly leaderId?: string;
    }
  | {
      readonly kind: 'readReady';
      readonly ticket: number;
      readonly index: number;
    }
  | {readonly kind: 'elected'; readonly term: number}
  /** A voter knows no leader for long; for logs. */
  | {readonly kind: 'electionStalled'; readonly stall: ElectionStall}
  /** The leader adds or removes a voter; for logs. */
  | {readonly kind: 'votersChanged'; readonly change: VoterChange}
  /** This instance will not learn the outcome of its open proposals. */
  | {readonly kind: 'leadershipLost'}
  /**
   * The stored log belongs to a group that never committed anything. Discard it
   * and start again as a wiped instance.
   */
  | {readonly kind: 'rejoin'; readonly reason: string};

/** Timers of elections and replication, in milliseconds. */
export interface LogTiming {
  readonly heartbeatMs: number;
  readonly electionMinMs: number;
  readonly electionMaxMs: number;
  /** A leader without replies from a quorum for this long steps down. */
  readonly checkQuorumMs: number;
  /**
   * Upper bound of the random first election timeout after a start. It may be
   * short: an active leader still prevents the election, because its followers
   * deny the pre-vote. When absent, the first timeout lies between
   * `electionMinMs` and `electionMaxMs` like every other.
   */
  readonly firstElectionMaxMs?: number;
  /** An append or snapshot without a reply is sent again after this time. */
  readonly resendMs: number;
}

/**
 * Defaults. A new leader is elected within about a second. Three heartbeats fit
 * into the shortest election timeout, so that one late heartbeat does not start
 * an election.
 */
export const DEFAULT_TIMING: LogTiming = {
  heartbeatMs: 200,
  electionMinMs: 600,
  electionMaxMs: 1200,
  checkQuorumMs: 1200,
  resendMs: 500,
};

/** Options of the Raft core of one instance. */
export interface CoreOptions {
  readonly id: string;
  /** Ids of all other instances currently known. */
  readonly peerIds: () => readonly string[];
  /** Ids of the instances that found the group; all known ones when absent. */
  readonly founders?: readonly string[];
  /** When to remove a silent voter from the group; never when absent. */
  readonly voterEviction?: VoterEviction;
  /** Bounds the number of voters; when absent, every instance becomes one. */
  readonly voterLimit?: VoterLimit;
  /** Returns a number from 0 up to, but not including, 1. */
  readonly random: () => number;
  readonly timing: LogTiming;
  /** Maximum number of entries in one append. */
  readonly batchEntries: number;
  /**
   * Maximum size of the entries in one append, unless a single one exceeds it.
   */
  readonly batchChars: number;
  /** Maximum size of a snapshot chunk, in characters. */
  readonly chunkChars: number;
  /** Entries retained behind a snapshot for followers that lag a little. */
  readonly trailingEntries: number;
}
