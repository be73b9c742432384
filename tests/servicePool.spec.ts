import {ServicePool} from '../src/gateway/servicePool';
import type {TargetRecord} from '../src/site/announcement';
import type {SiteService} from '../src/site/site';

const SERVICE: SiteService = {
  name: 's',
  healthPath: '/',
  maxConnections: 100,
  coldRequestsPerSecond: 0,
};

function target(id: string, group: string): TargetRecord {
  return {
    id,
    bornMs: 1,
    sequence: 1,
    service: 's',
    address: '10.0.0.1:80',
    availabilityZone: 'a',
    slots: 7,
    state: 'ready',
    coldMs: 0,
    group: {name: group, epoch: 1, rank: 0, size: 1, open: true},
  };
}

function createPool() {
  const pool = new ServicePool('s', {
    nodeId: 'n',
    retries: {ratio: 0.2, slack: 10, windowMs: 10_000},
    coldMultiplier: 1.5,
    coldSlack: 5,
  });
  const choose = (records: readonly TargetRecord[], nowMs = 1_000) => {
    const choice = pool.choose({
      service: SERVICE,
      records,
      zonesOut: new Set(),
      ownZone: 'a',
      pushback: undefined,
      activeNodes: 1,
      tried: new Set(),
      nowMs,
      random: Math.random,
    });
    return choice.kind === 'target' ? choice.target.id : undefined;
  };
  return {pool, choose};
}

describe('target choice among groups of ranks', () => {
  const targets = [target('slow', 'g'), target('healthy', 'h')];

  // After the loss of a rank, its group stalls until the loss is detected.
  // Streams of the other group continue, so the service itself is not stalled.
  it('should send nothing to a stalled group', () => {
    const {pool, choose} = createPool();
    const {stallWatch} = pool.streams.forGroup('g');
    stallWatch.streamStarted();
    stallWatch.streamStarted();
    stallWatch.noteEvent(0);
    pool.streams.forGroup('h').stallWatch.streamStarted();
    for (let i = 0; i < 6; i++) pool.begin('healthy', 0);
    expect(choose(targets)).toBe('healthy');
    expect(pool.isStalled(1_000)).toBe(false);
  });

  it('should detect that all groups are stalled', () => {
    const {pool, choose} = createPool();
    for (const group of ['g', 'h']) {
      const {stallWatch} = pool.streams.forGroup(group);
      stallWatch.streamStarted();
      stallWatch.streamStarted();
      stallWatch.noteEvent(0);
    }
    expect(pool.isStalled(1_000)).toBe(true);
    expect(choose(targets)).toBeUndefined();
  });
});
