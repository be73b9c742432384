import {readdirSync, readFileSync, statSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {lastValueFrom} from 'rxjs';
import {MemoryFiles} from '../bench/fuzz/memoryFiles';
import {DiskStorage} from '../src/control/log/diskStorage';
import {StorageError} from '../src/core/errors';
import {fence, LogCluster} from './logCluster';

const THREE = ['control-1', 'control-2', 'control-3'];

describe('replicated log under failures', () => {
  let cluster: LogCluster;

  const use = async (
    ids: readonly string[],
    limits: ConstructorParameters<typeof LogCluster>[1] = {}
  ): Promise<void> => {
    cluster = new LogCluster(ids, limits);
    await cluster.start(...ids);
  };

  const held = async (): Promise<readonly string[]> => {
    const {log, state} = cluster.at(await cluster.leader());
    await log.readBarrier();
    return state.holders;
  };

  const flipABit = (id: string): void => {
    const dir = path.join(cluster.dataDir(id), 'log');
    // Not always the first: an instance that was filled by a snapshot goes on
    // in a file with the next number.
    const names = readdirSync(dir).filter(n => /^log-\d+$/.test(n));
    const file = path.join(dir, names.sort().at(-1) ?? '');
    const bytes = readFileSync(file);
    bytes.writeUInt8(bytes.readUInt8(60) ^ 1, 60);
    writeFileSync(file, bytes);
  };

  afterEach(() => cluster.close());

  // An accepted change is held by 1 and 2 only; 1 loses its disk. Had the new 1
  // a vote at once, it and 3 could go on without the change. It votes only once
  // it is whole, by itself; then 2 may be lost as well and nothing is missed.
  it('should lose nothing when a wiped instance is repaired and then a second is lost', async () => {
    await use(THREE);
    await cluster.whole();
    await cluster.commit('first');
    await cluster.stop('control-3');
    await cluster.commit('second');
    await cluster.stop('control-1');
    cluster.wipe('control-1');
    await cluster.start('control-1');
    expect(cluster.at('control-1').log.status().voter).toBe(false);
    await cluster.start('control-3');
    await cluster.whole();
    await cluster.stop('control-2');
    cluster.wipe('control-2');
    await cluster.commit('third');
    expect(await held()).toEqual(['first', 'second', 'third']);
    await cluster.start('control-2');
    await cluster.whole();
    expect(cluster.fatal).toEqual([]);
  }, 40_000);

  // A bit flips in the middle of one log. That instance may lack what it had
  // vouched for, so it starts as a new one and is filled by the others; the
  // damaged files stay beside for whoever wants to know.
  it('should repair an instance with a damaged log from its peers', async () => {
    await use(THREE);
    await cluster.whole();
    await cluster.commit('first');
    const before = cluster.at('control-2').log.status().incarnation;
    const {commitIndex} = cluster.at(await cluster.leader()).log.status();
    await cluster.until(
      'control-2',
      status => status.commitIndex >= commitIndex
    );
    await cluster.stop('control-2');
    flipABit('control-2');
    await cluster.start('control-2');
    await cluster.whole();
    const {log, state} = cluster.at('control-2');
    expect(log.status().incarnation).not.toBe(before);
    expect(state.holders).toEqual(['first']);
    expect(readdirSync(cluster.dataDir('control-2'))).toContain('log-damaged');
  }, 40_000);

  // Alone there is nobody to be filled by: to start over would take all that
  // was accepted away without a word.
  it('should refuse to start over a damaged log when it is alone', async () => {
    await use(['control-1']);
    await cluster.commit('first');
    await cluster.stop('control-1');
    flipABit('control-1');
    await expect(cluster.start('control-1')).rejects.toBeInstanceOf(
      StorageError
    );
  });

  // An instance is away while hundreds of changes go by, and the log that
  // holds them is cut off behind snapshots. It gets a snapshot in several
  // chunks and then the rest.
  it('should fill an instance that missed more than the log holds', async () => {
    const limits = {snapshotEntries: 50, trailingEntries: 5, chunkChars: 500};
    await use(THREE, limits);
    await cluster.whole();
    await cluster.stop('control-3');
    const {log} = cluster.at(await cluster.leader());
    const names = Array.from({length: 400}, (_, i) => `holder-${i}`);
    await Promise.all(names.map(name => log.propose(fence(name))));
    await cluster.start('control-3');
    const {commitIndex} = log.status();
    await cluster.until(
      'control-3',
      status => status.commitIndex >= commitIndex
    );
    expect(cluster.at('control-3').state.holders).toEqual(names);
  }, 40_000);

  it('should keep the log on disk bounded by snapshots', async () => {
    await use(['control-1'], {snapshotEntries: 20, trailingEntries: 0});
    const dir = path.join(cluster.dataDir('control-1'), 'log');
    const size = (): number =>
      readdirSync(dir)
        .filter(name => name.startsWith('log-'))
        .reduce((sum, name) => sum + statSync(path.join(dir, name)).size, 0);
    const sizes: number[] = [];
    for (let i = 0; i < 300; i++) {
      await cluster.commit(`holder-${i % 3}`);
      sizes.push(size());
    }
    expect(Math.max(...sizes)).toBeLessThan(20_000);
    await cluster.stop('control-1');
    await cluster.start('control-1');
    expect(await held()).toHaveLength(300);
  }, 40_000);

  // The link fails in one direction only. A leader that cannot be heard is
  // replaced; one that hears nobody keeps the others quiet by its heartbeats
  // until it steps down by itself. In both cases callers go on elsewhere.
  it.each(['from', 'to'] as const)(
    'should elect another leader when links %s the leader are cut one way',
    async direction => {
      await use(THREE);
      await cluster.whole();
      await cluster.commit('first');
      const old = await cluster.leader();
      cluster.cut(old, direction);
      await cluster.until(old, ({role}) => role !== 'leader');
      await cluster.commit('second');
      const leader = await cluster.leader();
      expect(leader).not.toBe(old);
      cluster.cuts.clear();
      await cluster.until(old, ({leaderId}) => leaderId === leader);
      const {log, state} = cluster.at(old);
      await log.readBarrier();
      expect(state.holders).toEqual(['first', 'second']);
    },
    40_000
  );

  it.each([
    [['control-1'], THREE],
    [THREE, [...THREE, 'control-4', 'control-5']],
  ])(
    'should take in instances that were added to the settings %j',
    async (before, after) => {
      await use(before);
      await cluster.commit('first');
      await cluster.stop(...before);
      cluster.ids = after;
      await cluster.start(...after);
      await cluster.whole();
      await cluster.stop('control-2');
      await cluster.commit('second');
      expect(await held()).toEqual(['first', 'second']);
    },
    40_000
  );

  // The leader is cut off with a proposal under way: it may or may not have
  // reached the others, so its caller hears that the outcome is not known.
  it('should call a proposal lost when leadership ends before its outcome', async () => {
    await use(THREE);
    await cluster.whole();
    const old = await cluster.leader();
    cluster.cut(old, 'from');
    cluster.cut(old, 'to');
    const proposal = cluster.at(old).log.propose(fence('cut off'));
    await expect(proposal).rejects.toMatchObject({fault: {kind: 'lost'}});
  });

  it('should go on while one peer never answers', async () => {
    await use(THREE);
    await cluster.whole();
    const leader = await cluster.leader();
    cluster.silent.add(THREE.find(id => id !== leader) ?? '');
    for (let i = 0; i < 20; i++) await cluster.commit(`holder-${i}`);
    expect(await held()).toHaveLength(20);
  });

  // The disk of the leader fails or is full. It must not acknowledge anything
  // any more, nor try again: it stops, and the others go on without it.
  it('should stop for good when its disk fails, while the others go on', async () => {
    const files = new MemoryFiles();
    cluster = new LogCluster(THREE);
    cluster.storages.set('control-1', new DiskStorage(files, '/data'));
    await cluster.start(...THREE);
    await cluster.whole();
    files.setFault(operation => {
      if (operation === 'sync') throw new Error('EIO');
    });
    const stopped = lastValueFrom(cluster.at('control-1').log.status$);
    await Promise.allSettled([cluster.commit('first'), stopped]);
    await cluster.stop('control-1');
    expect(cluster.fatal).toEqual([expect.any(StorageError)]);
    await cluster.commit('second');
    expect((await held()).at(-1)).toBe('second');
  });
});
