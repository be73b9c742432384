/** Opens the durable state of an instance and starts its replicated log. */

import {randomUUID} from 'node:crypto';
import {StorageError, unreachable} from '../../core/errors';
import {DEFAULT_TIMING} from './coreEvents';
import {NODE_FILES} from './diskFiles';
import {DiskStorage} from './diskStorage';
import type {DurableState, HardState} from './entry';
import {LogDriver} from './logDriver';
import type {LogLimits, ReplicatedLogOptions} from './logOptions';
import type {LogStorage} from './logStorage';
import type {ReplicatedLog} from './replicatedLog';

const DEFAULT_SNAPSHOT_ENTRIES = 4096;
const DEFAULT_SNAPSHOT_BYTES = 16 << 20;
const DEFAULT_TRAILING_ENTRIES = 512;
const DEFAULT_BATCH_ENTRIES = 256;
const DEFAULT_BATCH_CHARS = 1 << 20;
const DEFAULT_CHUNK_CHARS = 1 << 20;

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
      } satisfies LogLimits,
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
      return startEmpty(storage, options.mayFound ?? true);
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
  if (options.peers.ids().length === 0)
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
