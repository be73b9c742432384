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

function fixture() {
  const pool = new ServicePool('s', {
    nodeId: 'n',
    retries: {ratio: 0.2, slack: 10, windowMs: 10_000},
    coldMultiplier: 1.5,
    coldSlack: 5,
  });
  const choose = (records: readonly TargetRecord[], nowMs = 1_000) =>
    pool.choose({
      service: SERVICE,
      records,
      zonesOut: new Set(),
      ownZone: 'a',
      activeNodes: 1,
      tried: new Set(),
      nowMs,
    })?.id;
  return {pool, choose};
}

describe('choice among groups of ranks', () => {
  const both = [target('slow', 'g'), target('well', 'h')];

  // A rank is lost, and its group stands still until that is noticed. Streams of
  // the other group go on, so that the service as a whole does not look stalled.
  it('should send nothing to a group that stands still', () => {
    const {pool, choose} = fixture();
    const {stalls} = pool.streams.of('g');
    stalls.opened();
    stalls.opened();
    stalls.noteEvent(0);
    pool.streams.of('h').stalls.opened();
    for (let i = 0; i < 6; i++) pool.begin('well', 0);
    expect(choose(both)).toBe('well');
    expect(pool.isStalled(1_000)).toBe(false);
  });

  it('should tell that all groups stand still', () => {
    const {pool, choose} = fixture();
    for (const group of ['g', 'h']) {
      const {stalls} = pool.streams.of(group);
      stalls.opened();
      stalls.opened();
      stalls.noteEvent(0);
    }
    expect(pool.isStalled(1_000)).toBe(true);
    expect(choose(both)).toBeUndefined();
  });
});
