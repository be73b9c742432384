import {LocalAnnouncements} from '../src/cluster/localAnnouncements';
import {SyncCursor} from '../src/cluster/syncCursor';
import {NodeDirectory} from '../src/cluster/nodeDirectory';
import {reportPeriodMs} from '../src/policy/reportPeriod';
import type {TargetRecord} from '../src/site/announcement';
import {syncState} from './fixtures/syncState';

function record(
  id: string,
  state: TargetRecord['state'] = 'ready'
): TargetRecord {
  return {
    id,
    bornMs: 1,
    sequence: 1,
    service: 's',
    address: `10.0.0.1:${id}`,
    availabilityZone: 'a',
    slots: 4,
    state,
    coldMs: 0,
  };
}

describe('reports to the leader', () => {
  // With a fixed period, the reports of 300 nodes need more than one CPU core of
  // the leader, and changes wait behind them for seconds.
  it('should keep to a total rate as nodes are added', () => {
    const perSecond = (nodes: number) =>
      (nodes * 1_000) / reportPeriodMs(nodes);
    expect(perSecond(7)).toBeCloseTo(70);
    for (const nodes of [39, 100, 300, 1_000])
      expect(perSecond(nodes)).toBeLessThanOrEqual(334);
  });

  // If every node sent records of all targets, a new leader would receive nodes
  // times targets records at once, while callers wait for it.
  it('should send a new leader only records of recent announcements', () => {
    const announcements = new LocalAnnouncements();
    announcements.add(record('old'), 0);
    announcements.add(record('new'), 8_000);
    announcements.takeUnsent();
    announcements.requeueRecent(10_000);
    expect(announcements.takeUnsent().map(({id}) => id)).toEqual(['new']);
  });

  // The leader that knew of a departure is lost. Unless the new leader learns of
  // it, the leaving target gets requests again that it must not get.
  it('should send a new leader departures of targets for longer', () => {
    const announcements = new LocalAnnouncements();
    announcements.add(record('left', 'gone'), 0);
    announcements.add(record('leaving', 'draining'), 0);
    announcements.takeUnsent();
    announcements.requeueRecent(50_000);
    expect(announcements.takeUnsent().map(({id}) => id)).toEqual([
      'left',
      'leaving',
    ]);
  });

  it('should requeue what a leader may not have received, but nothing outdated', () => {
    const announcements = new LocalAnnouncements();
    announcements.add(record('a'), 0);
    const taken = announcements.takeUnsent();
    announcements.add(record('a', 'draining'), 10);
    announcements.requeue(taken);
    expect(announcements.takeUnsent().map(one => one.state)).toEqual([
      'draining',
    ]);
  });

  // A late reply of an earlier leader must not revert the view of a node.
  it('should treat replies of an earlier leader or log position as stale', () => {
    const progress = new SyncCursor();
    expect(progress.advance(syncState({term: 3, index: 9}), 0)).toBe(true);
    expect(progress.isStale(syncState({term: 2, index: 20}))).toBe(true);
    expect(progress.isStale(syncState({term: 3, index: 8}))).toBe(true);
    expect(progress.isStale(syncState({term: 4, index: 9}))).toBe(false);
  });

  it('should request the list of nodes again before nodes expire', () => {
    const progress = new SyncCursor();
    const nodes = [{ip: '10.0.0.2', hasDisk: true}];
    progress.advance(syncState({nodes, nodesRevision: 4}), 0);
    expect(progress.reportParams(1_000).nodesRevision).toBe(4);
    expect(progress.reportParams(6_000).nodesRevision).toBeUndefined();
  });

  it('should increase the revision as nodes are added and expire', () => {
    let nowMs = 0;
    const self = {ip: '10.0.0.1', hasDisk: true};
    const none = () => ({
      id: '',
      send: () => Promise.reject(new Error('none')),
    });
    const directory = new NodeDirectory(self, [], none, () => nowMs);
    directory.markSeen([{ip: '10.0.0.2', hasDisk: false}]);
    const {revision} = directory;
    nowMs = 5_000;
    directory.markSeen([{ip: '10.0.0.2', hasDisk: false}]);
    expect(directory.revision).toBe(revision);
    nowMs = 60_000;
    expect(directory.revision).toBeGreaterThan(revision);
    expect(directory.all()).toEqual([self]);
  });
});
