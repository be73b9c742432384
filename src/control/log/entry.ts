/** What the replicated log stores: entries, configurations, terms, snapshots. */

import type {Command} from '../state/command';

/**
 * One voting member. The id is the static one of the settings; the incarnation
 * is random and stands on the disk, so a wiped disk comes back as another
 * member. Quorums count incarnations: what the lost disk had promised must
 * never be counted for the empty one that took its place.
 */
export interface Voter {
  readonly id: string;
  readonly incarnation: string;
}

/** The voting members, in force from the moment they stand in the log. */
export interface Configuration {
  readonly voters: readonly Voter[];
}

/** What an entry holds. */
export type EntryBody =
  | {readonly kind: 'command'; readonly command: Command}
  | {
      readonly kind: 'configuration';
      readonly configuration: Configuration;
    };

/** One position of the log; indexes start at 1. */
export interface LogEntry {
  readonly index: number;
  readonly term: number;
  readonly body: EntryBody;
}

/** What an instance must remember apart from the log. */
export interface HardState {
  readonly incarnation: string;
  readonly term: number;
  /** Incarnation that got the vote of this term. */
  readonly votedFor?: string;
  /** Incarnation that founded the group to which the entries belong. */
  readonly group?: string;
  /** False when a damaged log was set aside: then data existed before. */
  readonly mayFound: boolean;
}

/** The applied state up to and including `index`. */
export interface LogSnapshot {
  readonly index: number;
  readonly term: number;
  readonly configuration: Configuration;
  /** The state machine's own string. */
  readonly data: string;
}

/** Everything found on a disk. */
export interface DurableState {
  readonly hard: HardState;
  readonly snapshot?: LogSnapshot;
  /** Position before the first entry. */
  readonly base: LogPosition;
  readonly entries: readonly LogEntry[];
}

/** An index with the term of its entry; 0 and 0 before the first entry. */
export interface LogPosition {
  readonly index: number;
  readonly term: number;
}

/** One durable change; a batch takes effect in order. */
export type LogWrite =
  | {readonly kind: 'hardState'; readonly hard: HardState}
  /** Replaces everything from the first entry's index on. */
  | {readonly kind: 'append'; readonly entries: readonly LogEntry[]}
  /**
   * Entries up to `keepAfter` may go. With `resetLog` no entry is kept: they
   * belong to a history that the snapshot replaces.
   */
  | {
      readonly kind: 'snapshot';
      readonly snapshot: LogSnapshot;
      readonly keepAfter: LogPosition;
      readonly resetLog: boolean;
    };

/** Number of members that make a quorum of `count`. */
export function quorumOf(count: number): number {
  return Math.floor(count / 2) + 1;
}
