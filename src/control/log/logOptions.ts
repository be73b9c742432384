/** What the log of one instance is started with, and how it reaches the others. */

import type {Logger} from '../../core/logger';
import type {Metrics} from '../../core/metrics';
import type {LogTiming} from './coreEvents';
import type {LogStorage} from './logStorage';
import type {StateMachine} from './replicatedLog';

/** Another instance, and how to ask it. */
export interface LogPeer {
  readonly id: string;
  /** Sends a JSON message; rejects when no answer came. */
  send(message: unknown): Promise<unknown>;
}

/** The other instances known at the moment; may grow and shrink. */
export interface LogPeers {
  ids(): readonly string[];
  /** Absent when the id is not known here. */
  find(id: string): LogPeer | undefined;
}

/** When a silent voter leaves the group. */
export interface ForgetRule {
  /** Silence after which a voter counts as gone, milliseconds. */
  readonly afterMs: number;
  /** Voters that must remain, so that a loss within the tolerance stays one. */
  readonly keepVoters: number;
}

/** Peers that do not change. */
export function fixedPeers(peers: readonly LogPeer[]): LogPeers {
  const byId = new Map(peers.map(peer => [peer.id, peer]));
  const ids = [...byId.keys()];
  return {ids: () => ids, find: id => byId.get(id)};
}

/** What the log of one instance needs. */
export interface ReplicatedLogOptions {
  readonly id: string;
  /** The other instances; none for a single one. */
  readonly peers: LogPeers;
  /**
   * Instances that found the group, where the others are not known from the
   * start; all peers and this one when absent.
   */
  readonly founders?: readonly string[];
  /** Whether an empty disk may found a group; true when absent. */
  readonly mayFound?: boolean;
  /**
   * When a voter that fell silent is dropped. Only where machines are replaced
   * at new addresses: the old ones would else count in the quorum for ever.
   */
  readonly forget?: ForgetRule;
  /** Folder for this instance's durable state alone. */
  readonly dataDir: string;
  readonly stateMachine: StateMachine;
  readonly logger: Logger;
  /** From 0 to below 1; spreads the election timeouts. */
  readonly random: () => number;
  /** The disk failed or a rule was broken: the process must stop. */
  readonly onFatal: (err: unknown) => void;
  readonly metrics?: Pick<Metrics, 'count'>;
  readonly timing?: LogTiming;
  readonly limits?: Partial<LogLimits>;
  /** Instead of the disk, in tests. */
  readonly storage?: LogStorage;
}

/** When the log is shortened, and how much goes into one message. */
export interface LogLimits {
  /** Entries applied since the last snapshot that call for the next. */
  readonly snapshotEntries: number;
  /** Bytes written since the last snapshot that call for the next. */
  readonly snapshotBytes: number;
  /** Entries kept behind a snapshot for followers that lag a little. */
  readonly trailingEntries: number;
  readonly batchEntries: number;
  /** Characters of entries in one message, unless one alone has more. */
  readonly batchChars: number;
  /** Characters of a snapshot in one message. */
  readonly chunkChars: number;
}
