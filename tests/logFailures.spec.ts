import {readdirSync, readFileSync, statSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {lastValueFrom} from 'rxjs';
import {MemoryFiles} from '../bench/fuzz/memoryFiles';
import {DiskStorage} from '../src/control/log/diskStorage';
import {StorageError} from '../src/core/errors';
import {fenceCommand, LogCluster} from './logCluster';

const THREE = ['control-1', 'control-2', 'control-3'];

describe('replicated log under failures', () => {
  let cluster: LogCluster;

  const startCluster = async (
    ids: readonly string[],
    limits: ConstructorParameters<typeof LogCluster>[1] = {}
  ): Promise<void> => {
    cluster = new LogCluster(ids, limits);
    await cluster.start(...ids);
  };

  const readHolders = async (): Promise<readonly string[]> => {
    const {log, state} = cluster.at(await cluster.leader());
    await log.readBarrier();
    return state.holders;
  };

  const flipBit = (id: string): void => {
    const dir = path.join(cluster.dataDir(id), 'log');
    // The segment number varies: after receiving a snapshot, an instance
    // continues in a segment with the next number.
    const names = readdirSync(dir).filter(n => /^log-\d+$/.test(n));
    const file = path.join(dir, names.sort().at(-1) ?? '');
    const bytes = readFileSync(file);
    bytes.writeUInt8(bytes.readUInt8(60) ^ 1, 60);
    writeFileSync(file, bytes);
  };

  afterEach(() => cluster.close());

  // An accepted change is stored by 1 and 2 only, and 1 loses its disk. If the
  // new incarnation of 1 could vote at once, 1 and 3 could form a quorum
  // without the change. It votes only once it has caught up, which needs no
  // operator. After that 2 may be lost as well.
  it('should lose nothing when a wiped instance is repaired and then a second is lost', async () => {
    await startCluster(THREE);
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
    expect(await readHolders()).toEqual(['first', 'second', 'third']);
    await cluster.start('control-2');
    await cluster.whole();
    expect(cluster.fatal).toEqual([]);
  }, 40_000);

  // A bit flips in the middle of one log. The instance may lack entries that it
  // acknowledged, so it starts as a new incarnation and receives the log from
  // its peers. The damaged files are kept for inspection.
  it('should repair an instance with a damaged log from its peers', async () => {
    await startCluster(THREE);
    await cluster.whole();
    await cluster.commit('first');
    const before = cluster.at('control-2').log.status().incarnation;
    const {commitIndex} = cluster.at(await cluster.leader()).log.status();
    await cluster.untilStatus(
      'control-2',
      status => status.commitIndex >= commitIndex
    );
    await cluster.stop('control-2');
    flipBit('control-2');
    await cluster.start('control-2');
    await cluster.whole();
    const {log, state} = cluster.at('control-2');
    expect(log.status().incarnation).not.toBe(before);
    expect(state.holders).toEqual(['first']);
    expect(readdirSync(cluster.dataDir('control-2'))).toContain('log-damaged');
  }, 40_000);

  // A single instance has no peer to receive the log from. Starting empty would
  // silently lose all accepted changes.
  it('should refuse to start over a damaged log when it is alone', async () => {
    await startCluster(['control-1']);
    await cluster.commit('first');
    await cluster.stop('control-1');
    flipBit('control-1');
    await expect(cluster.start('control-1')).rejects.toBeInstanceOf(
      StorageError
    );
  });

  // While an instance is down, hundreds of changes are committed and the log is
  // compacted. It receives a snapshot in several chunks and then the remaining
  // entries.
  it('should send a snapshot to an instance that missed more than the log holds', async () => {
    const limits = {snapshotEntries: 50, trailingEntries: 5, chunkChars: 500};
    await startCluster(THREE, limits);
    await cluster.whole();
    await cluster.stop('control-3');
    const {log} = cluster.at(await cluster.leader());
    const names = Array.from({length: 400}, (_, i) => `holder-${i}`);
    await Promise.all(names.map(name => log.propose(fenceCommand(name))));
    await cluster.start('control-3');
    const {commitIndex} = log.status();
    await cluster.untilStatus(
      'control-3',
      status => status.commitIndex >= commitIndex
    );
    expect(cluster.at('control-3').state.holders).toEqual(names);
  }, 40_000);

  it('should keep the log on disk bounded by snapshots', async () => {
    await startCluster(['control-1'], {
      snapshotEntries: 20,
      trailingEntries: 0,
    });
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
    expect(await readHolders()).toHaveLength(300);
  }, 40_000);

  // A one-way partition of the leader. If its messages are lost, the others
  // elect a new leader. If replies to it are lost, its heartbeats prevent an
  // election until it steps down by itself. In both cases another instance
  // becomes the leader.
  it.each(['from', 'to'] as const)(
    'should elect another leader when links %s the leader are cut one way',
    async direction => {
      await startCluster(THREE);
      await cluster.whole();
      await cluster.commit('first');
      const old = await cluster.leader();
      cluster.cutOff(old, direction);
      await cluster.untilStatus(old, ({role}) => role !== 'leader');
      await cluster.commit('second');
      const leader = await cluster.leader();
      expect(leader).not.toBe(old);
      cluster.cutLinks.clear();
      await cluster.untilStatus(old, ({leaderId}) => leaderId === leader);
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
    'should add instances that were added to the settings %j',
    async (before, after) => {
      await startCluster(before);
      await cluster.commit('first');
      await cluster.stop(...before);
      cluster.ids = after;
      await cluster.start(...after);
      await cluster.whole();
      await cluster.stop('control-2');
      await cluster.commit('second');
      expect(await readHolders()).toEqual(['first', 'second']);
    },
    40_000
  );

  // The leader is partitioned while a proposal is pending. The entry may or may
  // not have reached the others, so the proposal fails with an unknown outcome.
  it('should reject a proposal as lost when leadership ends before its outcome', async () => {
    await startCluster(THREE);
    await cluster.whole();
    const old = await cluster.leader();
    cluster.cutOff(old, 'from');
    cluster.cutOff(old, 'to');
    const proposal = cluster.at(old).log.propose(fenceCommand('cut off'));
    await expect(proposal).rejects.toMatchObject({fault: {kind: 'lost'}});
  });

  it('should go on while one peer never replies', async () => {
    await startCluster(THREE);
    await cluster.whole();
    const leader = await cluster.leader();
    cluster.silent.add(THREE.find(id => id !== leader) ?? '');
    for (let i = 0; i < 20; i++) await cluster.commit(`holder-${i}`);
    expect(await readHolders()).toHaveLength(20);
  });

  // The disk of an instance fails or is full. The instance must neither
  // acknowledge anything afterwards nor retry, so it stops. The others
  // continue.
  it('should stop for good when its disk fails, while the others go on', async () => {
    const files = new MemoryFiles();
    cluster = new LogCluster(THREE);
    cluster.storages.set('control-1', new DiskStorage(files, '/data'));
    await cluster.start(...THREE);
    await cluster.whole();
    files.setFaultHook(operation => {
      if (operation === 'sync') throw new Error('EIO');
    });
    const stopped = lastValueFrom(cluster.at('control-1').log.status$);
    await Promise.allSettled([cluster.commit('first'), stopped]);
    await cluster.stop('control-1');
    expect(cluster.fatal).toEqual([expect.any(StorageError)]);
    await cluster.commit('second');
    expect((await readHolders()).at(-1)).toBe('second');
  });
});
