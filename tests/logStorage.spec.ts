import {
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  truncateSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {applyWrite} from '../bench/fuzz/memoryDisk';
import {MemoryFiles} from '../bench/fuzz/memoryFiles';
import {SeededRandom} from '../bench/fuzz/schedule';
import type {DiskFiles} from '../src/control/log/diskFiles';
import {NODE_FILES} from '../src/control/log/diskFiles';
import {DiskStorage} from '../src/control/log/diskStorage';
import type {
  DurableState,
  HardState,
  LogEntry,
  LogWrite,
} from '../src/control/log/entry';
import {StorageError} from '../src/core/errors';

const HARD: HardState = {incarnation: 'a/1', term: 1, mayFound: true};
const CONFIGURATION = {voters: [{id: 'a', incarnation: 'a/1'}]};

const entry = (index: number, term = 1): LogEntry => ({
  index,
  term,
  body: {
    kind: 'command',
    command: {kind: 'fence', group: 'ranks', holder: `holder-${index}`},
  },
});
const append = (...indexes: readonly number[]): LogWrite => ({
  kind: 'append',
  entries: indexes.map(index => entry(index)),
});

/** For a test of what is removed; hundreds of syncs would wait for the disk. */
const UNSYNCED_FILES: DiskFiles = {
  ...NODE_FILES,
  openAppend: async file => ({
    ...(await NODE_FILES.openAppend(file)),
    sync: async () => undefined,
  }),
  syncDir: async () => undefined,
};

/** Files of a log in memory, under `/data`. */
async function filesOf(
  contents: ReadonlyMap<string, Buffer>
): Promise<MemoryFiles> {
  const files = new MemoryFiles();
  for (const [name, bytes] of contents) {
    const file = await files.openAppend(path.join('/data', 'log', name));
    await file.append(bytes);
  }
  return files;
}

describe('log storage', () => {
  let dir: string;

  beforeEach(() => {
    dir = mkdtempSync(path.join(tmpdir(), 'marlpulley-storage-'));
  });

  afterEach(() => rmSync(dir, {recursive: true, force: true}));

  const write = async (...batches: readonly LogWrite[][]): Promise<void> => {
    const storage = new DiskStorage(NODE_FILES, dir);
    await storage.load();
    for (const batch of batches) await storage.write(batch);
    await storage.close();
  };

  const load = (from = dir) => new DiskStorage(NODE_FILES, from).load();

  const loadedIndexes = async (from = dir): Promise<readonly number[]> => {
    const loaded = await load(from);
    if (loaded.kind !== 'state') throw new Error(loaded.kind);
    return loaded.state.entries.map(({index}) => index);
  };

  const segments = (): readonly string[] =>
    readdirSync(path.join(dir, 'log'))
      .filter(name => name.startsWith('log-'))
      .map(name => path.join(dir, 'log', name));

  it('should find nothing on an empty disk', async () => {
    expect(await load()).toEqual({kind: 'empty'});
  });

  it('should load what was written, with later entries in place of earlier ones', async () => {
    const replaced = {kind: 'append' as const, entries: [entry(2, 2)]};
    await write([{kind: 'hardState', hard: HARD}, append(1, 2, 3)], [replaced]);
    expect(await load()).toEqual({
      kind: 'state',
      state: {
        hard: HARD,
        snapshot: undefined,
        base: {index: 0, term: 0},
        entries: [entry(1), entry(2, 2)],
      },
    });
  });

  // Power is lost while a record is being written. The record was never
  // acknowledged, so it is dropped and the log continues before it.
  it('should drop a record that was cut off, at any byte, and go on', async () => {
    await write([{kind: 'hardState', hard: HARD}, append(1, 2)]);
    const [file = ''] = segments();
    const firstBytes = readFileSync(file).length;
    await write([append(3)]);
    // Each start begins a new segment, so the record to truncate is in the
    // last.
    const last = segments().at(-1) ?? '';
    const bytes = readFileSync(last).length;
    expect(firstBytes).toBeGreaterThan(0);
    for (let cut = bytes - 1; cut >= 0; cut -= 7) {
      truncateSync(last, cut);
      expect(await loadedIndexes()).toEqual([1, 2]);
    }
    await write([append(3, 4)]);
    expect(await loadedIndexes()).toEqual([1, 2, 3, 4]);
  });

  // A bit flips in acknowledged data on the disk. If it went undetected,
  // accepted changes would be lost silently, so every flip must be reported.
  it('should report every flipped bit as damage', async () => {
    const snapshot = {
      index: 1,
      term: 1,
      configuration: CONFIGURATION,
      data: 'x',
    };
    await write(
      [{kind: 'hardState', hard: HARD}, append(1, 2)],
      [
        {
          kind: 'snapshot',
          snapshot,
          keepAfter: {index: 0, term: 0},
          resetLog: false,
        },
      ],
      [append(3)],
      [append(4)]
    );
    const contents = new Map(
      readdirSync(path.join(dir, 'log')).map(name => [
        name,
        readFileSync(path.join(dir, 'log', name)),
      ])
    );
    let flips = 0;
    for (const [name, bytes] of contents) {
      for (let at = 0; at < bytes.length; at += 5) {
        const flipped = Buffer.from(bytes);
        flipped.writeUInt8(flipped.readUInt8(at) ^ (1 << (at % 8)), at);
        const files = await filesOf(new Map([...contents, [name, flipped]]));
        const {kind} = await new DiskStorage(files, '/data').load();
        expect({name, at, kind}).toEqual({name, at, kind: 'damaged'});
        flips++;
      }
    }
    expect(flips).toBeGreaterThan(100);
  });

  it.each(['state', 'log-00000001', 'log-00000002'])(
    'should report a missing %s as damage',
    async name => {
      await write([{kind: 'hardState', hard: HARD}, append(1)]);
      await write([append(2)]);
      await write([append(3)]);
      rmSync(path.join(dir, 'log', name));
      expect((await load()).kind).toBe('damaged');
    }
  );

  it('should keep a damaged log aside and start empty', async () => {
    await write([{kind: 'hardState', hard: HARD}, append(1)]);
    const before = readFileSync(segments()[0] ?? '');
    const storage = new DiskStorage(NODE_FILES, dir);
    await storage.load();
    await storage.setAside();
    await storage.close();
    expect(await load()).toEqual({kind: 'empty'});
    const aside = path.join(dir, 'log-damaged', 'log-00000001');
    expect(readFileSync(aside)).toEqual(before);
  });

  it('should remove segments that a snapshot covers', async () => {
    const storage = new DiskStorage(UNSYNCED_FILES, dir, 500);
    await storage.load();
    await storage.write([{kind: 'hardState', hard: HARD}]);
    const counts: number[] = [];
    for (let index = 1; index <= 200; index++) {
      await storage.write([append(index)]);
      if (index % 20 > 0) continue;
      const position = {index, term: 1};
      const snapshot = {...position, configuration: CONFIGURATION, data: ''};
      await storage.write([
        {kind: 'snapshot', snapshot, keepAfter: position, resetLog: false},
      ]);
      counts.push(segments().length);
    }
    await storage.close();
    expect(Math.max(...counts)).toBe(1);
  });

  // After a failed sync the kernel may drop the dirty pages and report success
  // for the next sync, so a retry would acknowledge data that is not on the
  // disk. A full disk is handled in the same way: nothing more is written.
  it.each(['append', 'sync', 'rename', 'syncDir'] as const)(
    'should never try again after a failed %s',
    async failing => {
      const files = new MemoryFiles();
      const storage = new DiskStorage(files, '/data');
      await storage.load();
      files.setFaultHook(operation => {
        if (operation === failing) throw new Error('EIO or ENOSPC');
      });
      const batch: LogWrite[] = [{kind: 'hardState', hard: HARD}, append(1)];
      await expect(storage.write(batch)).rejects.toBeInstanceOf(StorageError);
      files.setFaultHook(() => undefined);
      const operationCount = files.operations.length;
      await expect(storage.write(batch)).rejects.toBeInstanceOf(StorageError);
      expect(files.operations).toHaveLength(operationCount);
    }
  );

  // Power is lost at any moment, along with unsynced file names and data.
  // Everything acknowledged before must be there afterwards, and nothing may be
  // reported as damaged: a plain power loss must not require repair by peers.
  it('should keep all that was acknowledged when power is lost at any moment', async () => {
    for (let seed = 1; seed <= 400; seed++) await crashRepeatedly(seed);
  });
});

/** Four boots on one disk, each ended by a power loss at a random operation. */
async function crashRepeatedly(seed: number): Promise<void> {
  const random = new SeededRandom(seed);
  const files = new MemoryFiles();
  let acknowledged: DurableState | undefined;
  let unacknowledged: readonly LogWrite[] = [];
  for (let boot = 0; boot < 4; boot++) {
    const storage = new DiskStorage(files, '/data', random.pick([200, 2000]));
    const loaded = await storage.load();
    if (loaded.kind === 'damaged')
      throw new Error(`seed ${seed}, boot ${boot}: ${loaded.detail}`);
    const found = loaded.kind === 'state' ? loaded.state : undefined;
    const possible = possibleStates(acknowledged, unacknowledged).map(
      comparableState
    );
    expect(possible).toContainEqual(comparableState(found));
    acknowledged = found;
    const crashAt = files.operations.length + random.int(1, 60);
    files.setFaultHook(() => {
      if (files.operations.length >= crashAt) throw new Error('power lost');
    });
    for (;;) {
      unacknowledged = randomWrites(random, acknowledged);
      try {
        await storage.write(unacknowledged);
      } catch {
        break;
      }
      acknowledged = possibleStates(acknowledged, unacknowledged).at(-1);
    }
    files.crash(random);
  }
}

/** The state before the writes and after each of them. */
function possibleStates(
  from: DurableState | undefined,
  writes: readonly LogWrite[]
): readonly (DurableState | undefined)[] {
  const states = [from];
  for (const write of writes) states.push(applyWrite(states.at(-1), write));
  return states;
}

/**
 * The part of the state that must be equal after a crash. Entries before a
 * snapshot may or may not remain, so they are left out.
 */
function comparableState(state: DurableState | undefined) {
  if (state === undefined) return undefined;
  const {hard, snapshot, entries} = state;
  const from = snapshot?.index ?? 0;
  return {hard, snapshot, entries: entries.filter(({index}) => index > from)};
}

function randomWrites(
  random: SeededRandom,
  state: DurableState | undefined
): readonly LogWrite[] {
  if (state === undefined) return [{kind: 'hardState', hard: HARD}];
  const last = state.base.index + state.entries.length;
  const snapshotIndex = state.snapshot?.index ?? 0;
  const term = state.hard.term;
  const choice = random.int(0, 9);
  if (choice === 0)
    return [{kind: 'hardState', hard: {...state.hard, term: term + 1}}];
  if (choice === 1 && last > snapshotIndex) {
    const index = random.int(snapshotIndex + 1, last);
    const snapshotEntry = state.entries[index - state.base.index - 1];
    const position = {index, term: snapshotEntry?.term ?? 0};
    const snapshot = {...position, configuration: CONFIGURATION, data: 's'};
    return [{kind: 'snapshot', snapshot, keepAfter: position, resetLog: false}];
  }
  if (choice === 2) {
    const position = {index: last + 5, term: term + 1};
    const snapshot = {...position, configuration: CONFIGURATION, data: 'r'};
    const hard = {...state.hard, term: term + 1};
    return [
      {kind: 'hardState', hard},
      {kind: 'snapshot', snapshot, keepAfter: position, resetLog: true},
    ];
  }
  const first = random.int(Math.max(snapshotIndex, last - 2) + 1, last + 1);
  const count = random.int(1, 3);
  const entries = Array.from({length: count}, (_, i) => entry(first + i, term));
  return [{kind: 'append', entries}];
}
