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

/** Loads the durable state and starts the log of this instance. */
export async function createReplicatedLog(
  options: ReplicatedLogOptions
): Promise<ReplicatedLog> {
  const storage =
    options.storage ?? new DiskStorage(NODE_FILES, options.dataDir);
  const durable = await loadDurableState(options, storage);
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
      resetStorage: () => setAsideAndStartEmpty(storage),
    },
    storage,
    durable
  );
}

async function loadDurableState(
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
 * A damaged log may lack acknowledged entries, so its incarnation must neither
 * vote nor count in a quorum. The instance starts as a wiped one and receives
 * the log from its peers. An instance without peers refuses to start instead.
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
    'the log is damaged: setting it aside and rejoining as a new incarnation'
  );
  return setAsideAndStartEmpty(storage);
}

async function setAsideAndStartEmpty(
  storage: LogStorage
): Promise<DurableState> {
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
