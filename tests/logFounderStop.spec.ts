import {LogCluster} from './logCluster';

const IDS = ['a', 'b', 'c'];
const cluster = new LogCluster(IDS);

afterEach(() => cluster.close());

/** Cuts the founder off in the step in which it becomes the leader. */
async function foundWithoutCopies(): Promise<void> {
  await cluster.start('a');
  const elected = cluster.untilStatus('a', ({role}) => {
    if (role === 'leader') cluster.cutOff('a', 'from');
    return role === 'leader';
  });
  await cluster.start('b', 'c');
  await elected;
}

describe('a founder that stops before it has committed an entry', () => {
  // The others hold no configuration and must not found a second group. They
  // have no leader, and their term stays, until the founder is back.
  it.each([
    ['with its disk', false],
    ['with an empty disk', true],
  ])('should lead the group after it returns %s', async (_, wiped) => {
    await foundWithoutCopies();
    expect(cluster.at('a').log.status().commitIndex).toBe(0);
    await cluster.stop('a');
    for (const id of ['b', 'c'])
      expect(cluster.at(id).log.status()).toMatchObject({
        role: 'learner',
        lastIndex: 0,
      });
    cluster.cutLinks.clear();
    if (wiped) cluster.wipe('a');
    await cluster.start('a');
    expect(await cluster.commit('x')).toMatchObject({command: 'fence'});
    await cluster.whole();
  });
});
