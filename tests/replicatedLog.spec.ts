import type {Command} from '../src/control/state/command';
import {NotLeaderError} from '../src/control/log/notLeaderError';
import {fenceCommand, LogCluster} from './logCluster';

const KEY = {customer: 'harbour', key: 'k'};
const COMMAND_OF_EACH_KIND: readonly Command[] = [
  {kind: 'submit', revision: 1, digest: 'd', text: '', submittedBy: 'Aoife'},
  {
    ...KEY,
    kind: 'claim',
    digest: 'd',
    entryId: 'entry-1',
    requestId: 'r',
    targetId: 't',
    agentBootId: 'b',
    atMs: 1,
  },
  {...KEY, kind: 'settle', attempt: 1, settlement: {kind: 'unknown'}},
  fenceCommand('control-1'),
  {
    kind: 'mapDecision',
    group: 'g',
    fence: 1,
    version: 1,
    switchStep: 1,
    decision: 'abort',
    slots: [],
  },
  {kind: 'usage', entryBootId: 'b', totals: []},
  {kind: 'noop'},
];
const THREE = ['control-1', 'control-2', 'control-3'];

describe('replicated log', () => {
  let cluster: LogCluster;

  const startCluster = async (ids: readonly string[]): Promise<void> => {
    cluster = new LogCluster(ids);
    await cluster.start(...ids);
  };

  afterEach(async () => {
    await cluster.close();
    expect(cluster.fatal).toEqual([]);
  });

  it.each([[['control-1']], [THREE], [[...THREE, 'control-4', 'control-5']]])(
    'should elect a leader and commit with the settings %j',
    async ids => {
      await startCluster(ids);
      expect(await cluster.commit('first')).toEqual({
        command: 'fence',
        result: {fence: 1},
      });
      const {voters} = cluster.at(await cluster.leader()).log.status();
      expect(voters.map(({id}) => id).sort()).toEqual(ids);
    }
  );

  // If followers rejected an entry because they do not know the kind of its
  // command, neither that entry nor any later one could ever be committed, and
  // every submission would time out.
  it('should commit a command of every kind', async () => {
    await startCluster(THREE);
    const {log} = cluster.at(await cluster.leader());
    for (const command of COMMAND_OF_EACH_KIND) {
      const done = log.propose(command).then(() => command.kind);
      await expect(done).resolves.toBe(command.kind);
    }
  });

  it('should name the leader when another instance is asked', async () => {
    await startCluster(THREE);
    const leader = await cluster.leader();
    const other = THREE.find(id => id !== leader) ?? '';
    await cluster.untilStatus(other, ({leaderId}) => leaderId === leader);
    const refused = cluster.at(other).log.propose(fenceCommand('other'));
    await expect(refused).rejects.toBeInstanceOf(NotLeaderError);
    await expect(refused).rejects.toMatchObject({
      leaderId: leader,
      fault: {kind: 'rejected'},
    });
  });

  it('should show every earlier commit after a read barrier, at any instance', async () => {
    await startCluster(THREE);
    await cluster.commit('first');
    for (const id of THREE) {
      const {log, state} = cluster.at(id);
      const leader = await cluster.leader();
      await cluster.untilStatus(id, ({leaderId}) => leaderId === leader);
      await log.readBarrier();
      expect(state.holders).toEqual(['first']);
    }
  });

  it('should commit proposals made at once in the order they were made', async () => {
    await startCluster(THREE);
    const {log} = cluster.at(await cluster.leader());
    const names = Array.from({length: 300}, (_, i) => `holder-${i}`);
    const results = await Promise.all(
      names.map(name => log.propose(fenceCommand(name)))
    );
    expect(results).toEqual(
      names.map((_, i) => ({command: 'fence', result: {fence: i + 1}}))
    );
  });

  it('should keep what was accepted when all instances restart', async () => {
    await startCluster(THREE);
    await cluster.commit('first');
    await cluster.stop(...THREE);
    await cluster.start(...THREE);
    await cluster.commit('second');
    const {state} = cluster.at(await cluster.leader());
    expect(state.holders).toEqual(['first', 'second']);
  });

  it('should elect another leader when the leader is gone', async () => {
    await startCluster(THREE);
    await cluster.commit('first');
    await cluster.stop(await cluster.leader());
    await cluster.commit('second');
    const {state} = cluster.at(await cluster.leader());
    expect(state.holders).toEqual(['first', 'second']);
  });
});
