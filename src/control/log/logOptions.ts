/** Options of the replicated log, and its connections to peers. */

import type {Logger} from '../../core/logger';
import type {Metrics} from '../../core/metrics';
import type {LogTiming} from './coreEvents';
import type {LogStorage} from './logStorage';
import type {StateMachine} from './replicatedLog';

/** Another instance and its connection. */
export interface LogPeer {
  readonly id: string;
  /** Sends a JSON message and resolves with the reply; rejects without one. */
  send(message: unknown): Promise<unknown>;
}

/** The other instances currently known. The set may change over time. */
export interface LogPeers {
  ids(): readonly string[];
  /** The peer with this id, or undefined if it is not known. */
  find(id: string): LogPeer | undefined;
}

/** When the leader removes a silent voter from the group. */
export interface VoterEviction {
  /** Time without a reply after which a voter is considered gone. */
  readonly silentMs: number;
  /**
   * Minimum number of voters. No voter is removed at or below it, since a
   * smaller group would tolerate fewer failures than intended.
   */
  readonly minVoters: number;
}

/**
 * Bounds the number of voters in a group of many instances. In force only while
 * more instances than `maxVoters` are known.
 */
export interface VoterLimit {
  readonly maxVoters: number;
  /** Availability zone of an instance; undefined while it is not known. */
  zoneOf(id: string): string | undefined;
  /**
   * Time of the last message that came from an instance outside the log, on the
   * clock of the log (`performance.now()`); undefined without one.
   */
  lastReportMs(id: string): number | undefined;
}

/** Creates a fixed set of peers. */
export function staticPeers(peers: readonly LogPeer[]): LogPeers {
  const byId = new Map(peers.map(peer => [peer.id, peer]));
  const ids = [...byId.keys()];
  return {ids: () => ids, find: id => byId.get(id)};
}

/** Options of the log of one instance. */
export interface ReplicatedLogOptions {
  readonly id: string;
  /** The other instances; none if this is the only one. */
  readonly peers: LogPeers;
  /**
   * Ids of the instances that found the group, if not all peers are known from
   * the start. When absent, this instance and all peers found it.
   */
  readonly founders?: readonly string[];
  /** Whether an empty disk may found a group; true when absent. */
  readonly mayFound?: boolean;
  /**
   * When to remove a silent voter; never when absent. Needed only if machines
   * are replaced by others with new addresses: the old ones would otherwise
   * remain in the quorum forever.
   */
  readonly voterEviction?: VoterEviction;
  /** Bounds the number of voters; when absent, every instance becomes one. */
  readonly voterLimit?: VoterLimit;
  /** Directory for durable state, used by this instance only. */
  readonly dataDir: string;
  readonly stateMachine: StateMachine;
  readonly logger: Logger;
  /**
   * Returns a number from 0 up to, but not including, 1, for election timeouts.
   */
  readonly random: () => number;
  /**
   * Called when the disk fails or an invariant is violated. The log has
   * stopped.
   */
  readonly onFatal: (err: unknown) => void;
  readonly metrics?: Pick<Metrics, 'count'>;
  readonly timing?: LogTiming;
  readonly limits?: Partial<LogLimits>;
  /** Replaces the disk in tests. */
  readonly storage?: LogStorage;
}

/** When the log is compacted, and how large messages may become. */
export interface LogLimits {
  /** Entries applied since the last snapshot that trigger the next one. */
  readonly snapshotEntries: number;
  /** Bytes written since the last snapshot that trigger the next one. */
  readonly snapshotBytes: number;
  /** Entries retained behind a snapshot for followers that lag a little. */
  readonly trailingEntries: number;
  /** Maximum number of entries in one message. */
  readonly batchEntries: number;
  /**
   * Maximum size of the entries in one message, unless a single one exceeds it.
   */
  readonly batchChars: number;
  /** Maximum size of a snapshot chunk, in characters. */
  readonly chunkChars: number;
}
