/** Stored data types: entries, configurations, hard state and snapshots. */

import type {Command} from '../state/command';

/**
 * A voting member. The id comes from the settings. The incarnation is a random
 * id stored on the disk, so an instance with a wiped disk is a different
 * member. Quorums count incarnations: votes and acknowledgements given by the
 * lost disk must never count for the empty disk that replaced it.
 */
export interface Voter {
  readonly id: string;
  readonly incarnation: string;
}

/**
 * The voting members. A configuration applies as soon as it is appended to the
 * log, before it is committed.
 */
export interface Configuration {
  readonly voters: readonly Voter[];
}

/** Content of an entry. */
export type EntryBody =
  | {readonly kind: 'command'; readonly command: Command}
  | {
      readonly kind: 'configuration';
      readonly configuration: Configuration;
    };

/** One entry of the log. Indexes start at 1. */
export interface LogEntry {
  readonly index: number;
  readonly term: number;
  readonly body: EntryBody;
}

/** Raft's hard state: what an instance persists besides log and snapshot. */
export interface HardState {
  readonly incarnation: string;
  readonly term: number;
  /** Incarnation that received this instance's vote in this term. */
  readonly votedFor?: string;
  /** Identifies the group of the entries: the incarnation of its founder. */
  readonly group?: string;
  /**
   * Whether this incarnation may found a group. False after a damaged log was
   * set aside, since data existed before.
   */
  readonly mayFound: boolean;
}

/** State of the state machine after applying all entries up to `index`. */
export interface LogSnapshot {
  readonly index: number;
  readonly term: number;
  readonly configuration: Configuration;
  /** The state machine's serialized state; opaque to the log. */
  readonly data: string;
}

/** All durable state of an instance. */
export interface DurableState {
  readonly hard: HardState;
  readonly snapshot?: LogSnapshot;
  /** Position directly before the first entry. */
  readonly base: LogPosition;
  readonly entries: readonly LogEntry[];
}

/** Index and term of an entry; both are 0 before the first entry. */
export interface LogPosition {
  readonly index: number;
  readonly term: number;
}

/** One durable change. The changes of a batch take effect in order. */
export type LogWrite =
  | {readonly kind: 'hardState'; readonly hard: HardState}
  /** Appends entries, replacing all from the first one's index on. */
  | {readonly kind: 'append'; readonly entries: readonly LogEntry[]}
  /**
   * Stores a snapshot. Entries up to `keepAfter` may be removed. With
   * `resetLog` all entries are removed, since the snapshot replaces their
   * history.
   */
  | {
      readonly kind: 'snapshot';
      readonly snapshot: LogSnapshot;
      readonly keepAfter: LogPosition;
      readonly resetLog: boolean;
    };

/** Size of a majority quorum of `count` voters. */
export function quorumOf(count: number): number {
  return Math.floor(count / 2) + 1;
}
