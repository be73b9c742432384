/** Opens the durable state of an instance and starts its replicated log. */

import {randomUUID} from 'node:crypto';
import {StorageError, unreachable} from '../../core/errors';
import type {Logger} from '../../core/logger';
import type {Metrics} from '../../core/metrics';
import type {LogTiming} from './coreEvents';
import {DEFAULT_TIMING} from './coreEvents';
import {NODE_FILES} from './diskFiles';
import {DiskStorage} from './diskStorage';
import type {DurableState, HardState} from './entry';
import {LogDriver} from './logDriver';
import type {LogStorage} from './logStorage';
import type {ReplicatedLog, StateMachine} from './replicatedLog';

const DEFAULT_SNAPSHOT_ENTRIES = 4096;
const DEFAULT_SNAPSHOT_BYTES = 16 << 20;
const DEFAULT_TRAILING_ENTRIES = 512;
const DEFAULT_BATCH_ENTRIES = 256;
const DEFAULT_BATCH_CHARS = 1 << 20;
const DEFAULT_CHUNK_CHARS = 1 << 20;

/** Another instance of the settings, and how to ask it. */
export interface LogPeer {
  readonly id: string;
  /** Sends a JSON message; rejects when no answer came. */
  send(message: unknown): Promise<unknown>;
}

/** What the log of one instance needs. */
export interface ReplicatedLogOptions {
  readonly id: string;
  /** The other instances; empty for a single one. */
  readonly peers: readonly LogPeer[];
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

/** Loads what the disk holds, and takes part in the log from then on. */
export async function createReplicatedLog(
  options: ReplicatedLogOptions
): Promise<ReplicatedLog> {
  const storage =
    options.storage ?? new DiskStorage(NODE_FILES, options.dataDir);
  const durable = await openDurable(options, storage);
  return new LogDriver(
    {
      ...options,
      timing: options.timing ?? DEFAULT_TIMING,
      limits: {
        snapshotEntries: DEFAULT_SNAPSHOT_ENTRIES,
        snapshotBytes: DEFAULT_SNAPSHOT_BYTES,
        trailingEntries: DEFAULT_TRAILING_ENTRIES,
        batchEntries: DEFAULT_BATCH_ENTRIES,
        batchChars: DEFAULT_BATCH_CHARS,
        chunkChars: DEFAULT_CHUNK_CHARS,
        ...options.limits,
      },
      startAfresh: () => setAsideAndStart(storage),
    },
    storage,
    durable
  );
}

async function openDurable(
  options: ReplicatedLogOptions,
  storage: LogStorage
): Promise<DurableState> {
  const loaded = await storage.load();
  switch (loaded.kind) {
    case 'state':
      return loaded.state;
    case 'empty':
      return startEmpty(storage, true);
    case 'damaged':
      return repairDamaged(options, storage, loaded.detail);
    default:
      return unreachable(loaded);
  }
}

/**
 * A damaged log may lack what was acknowledged, so it must not vote or be
 * counted. It starts as a wiped one and is filled by its peers; alone it has
 * none to be filled by and refuses to start.
 */
async function repairDamaged(
  options: ReplicatedLogOptions,
  storage: LogStorage,
  detail: string
): Promise<DurableState> {
  if (options.peers.length === 0)
    throw new StorageError('load', options.dataDir, detail);
  options.logger.error(
    {step: 'load', dataDir: options.dataDir, detail},
    'the log is damaged: it is set aside, and this instance joins as a new one'
  );
  return setAsideAndStart(storage);
}

async function setAsideAndStart(storage: LogStorage): Promise<DurableState> {
  await storage.setAside();
  return startEmpty(storage, false);
}

async function startEmpty(
  storage: LogStorage,
  mayFound: boolean
): Promise<DurableState> {
  const hard: HardState = {incarnation: randomUUID(), term: 0, mayFound};
  await storage.write([{kind: 'hardState', hard}]);
  return {hard, base: {index: 0, term: 0}, entries: []};
}
