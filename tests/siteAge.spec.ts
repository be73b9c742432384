import {LeaderService} from '../src/cluster/leaderService';
import {NodeQuarantine} from '../src/cluster/nodeQuarantine';
import {NodeSync} from '../src/cluster/nodeSync';
import type {SyncState} from '../src/cluster/messages';
import {PeerCatchUp} from '../src/cluster/peerCatchUp';
import {TargetTable} from '../src/cluster/targetTable';
import {packText} from '../src/site/packText';
import {recordingLogger} from './fixtures/recordingLogger';
import {syncState} from './fixtures/syncState';

const FIRST = {index: 5, packedSite: packText('1'), provenAgeMs: 0};
const NEWER = {
  kind: 'state' as const,
  index: 7,
  siteVersion: 2,
  packedSite: packText('2'),
  zonesOut: ['b'],
};

/** Reports of a node without targets; documents hold their version alone. */
function nodeSync() {
  const log = recordingLogger();
  const none = () => [];
  const sync = new NodeSync({
    nodes: {self: {ip: 'n', hasDisk: false}, markSeen: none},
    table: new TargetTable(),
    pushback: {
      takeReports: none,
      closedIds: none,
      reportLimitsMissingIn: none,
      applyReply: none,
    } as never,
    quarantine: new NodeQuarantine(),
    logger: log.logger,
    maxSiteAgeMs: 1_900,
    decodeSite: text =>
      text === 'broken'
        ? {ok: false, problem: text}
        : {
            ok: true,
            site: {version: +text, routes: [], customers: []} as never,
          },
    takeLoads: none,
  });
  const reply = (sentAtMs: number, change: Partial<SyncState> = {}) => {
    const sent = {params: sync.takeReport(0), sentAtMs, isLeader: false};
    sync.applyReply(syncState({...FIRST, ...change}), sent, sentAtMs + 1);
  };
  return {sync, reply, log};
}

describe('confirmation of the site document', () => {
  // A leader that states no proof may have been deposed, and not have noticed yet.
  it('should count from the report, less what the leader has not proven', () => {
    const {sync, reply} = nodeSync();
    reply(1_000, {provenAgeMs: undefined});
    expect(sync.view.confirmedAtMs).toBe(300);
    for (const sentAtMs of [1_000, 900]) reply(sentAtMs, {provenAgeMs: 50});
    expect(sync.view.confirmedAtMs).toBe(950);
  });

  // A node that can't decode the newest document still has an older one in force.
  it('should not come with a document that could not be decoded', () => {
    const {sync, reply} = nodeSync();
    reply(1_000);
    reply(2_000, {siteVersion: 2, packedSite: packText('broken')});
    expect(sync.view.confirmedAtMs).toBe(1_000);
  });

  it('should be logged once when it is overdue, and when it is back', () => {
    const {sync, reply, log} = nodeSync();
    reply(1_000);
    for (const nowMs of [2_900, 2_901, 3_500])
      sync.checkConfirmation(true, nowMs);
    reply(4_000);
    expect(log.events('site.unconfirmed')).toMatchObject([
      {version: 1, ageMs: 1_901, knowsLeader: true},
    ]);
    expect(log.events('site.confirmed')).toMatchObject([{ageMs: 3_001}]);
  });
});

describe('committed state of another node', () => {
  it('should replace an older one, but confirm and grant nothing', () => {
    const [ahead, {sync, reply}] = [nodeSync(), nodeSync()];
    ahead.reply(900, NEWER);
    reply(1_000);
    const {grants, grantedAtMs, confirmedAtMs} = sync.view;
    expect(ahead.sync.readCommitted({heldVersion: 1})).toEqual(NEWER);
    const held = ahead.sync.readCommitted({heldVersion: 2});
    expect(held).toEqual({...NEWER, packedSite: undefined});
    expect(sync.adopt(NEWER)).toBe(true);
    expect(sync.siteVersion).toBe(2);
    expect(sync.view).toMatchObject({grantedAtMs, confirmedAtMs});
    expect(sync.view.grants).toBe(grants);
  });

  // Only the leader, lost within 100 ms, had a change that this node acknowledged.
  it('should include a change when the node acknowledges it', () => {
    const {sync, reply} = nodeSync();
    reply(1_000);
    const site = {kind: 'site' as const, version: 2, packed: packText('2')};
    sync.applyChange(site, {index: 7, siteVersion: 2, zonesOut: []});
    const zone = {kind: 'zone' as const, availabilityZone: 'b', out: true};
    sync.applyChange(zone, {index: 8, siteVersion: 2, zonesOut: ['b']});
    expect(sync.siteVersion).toBe(2);
    expect([...sync.view.zonesOut]).toEqual(['b']);
    // Another operator's newer document is in force, which is not known here.
    sync.applyChange(site, {index: 9, siteVersion: 3, zonesOut: []});
    expect(sync.committed).toEqual({index: 8, siteVersion: 2});
  });

  // A node put other content in force under a version that was committed already.
  it('should be replied only to a proposal of the document in force', async () => {
    const packed = packText('2');
    const state = {site: {version: 2, packed, zonesOut: []}};
    const log = {status: () => ({commitIndex: 7}), readBarrier: async () => {}};
    const service = new LeaderService({
      replica: () => ({leads: true, current: {log, state}}),
      logger: recordingLogger().logger,
    } as never);
    const propose = (text: string) =>
      service.propose({kind: 'site', version: 2, packed: packText(text)});
    expect(await propose('2')).toMatchObject({
      kind: 'committed',
      state: {index: 7, siteVersion: 2},
    });
    expect(await propose('other')).toEqual({kind: 'committed'});
  });

  // A deposed leader's late reply, or a peer that is behind, would revert a change.
  it('should not be replaced by an older one', () => {
    const {sync, reply} = nodeSync();
    reply(1_000);
    sync.adopt(NEWER);
    reply(1_100, {index: 6});
    expect(sync.adopt({...NEWER, index: 6, zonesOut: []})).toBe(false);
    expect(sync.committed).toEqual({index: 7, siteVersion: 2});
    expect([...sync.view.zonesOut]).toEqual(['b']);
    expect(sync.view.confirmedAtMs).toBe(1_000);
  });

  // A node without targets and grants would be ready, and refuse its callers.
  it('should not be taken before the first reply of a leader', () => {
    expect(nodeSync().sync.adopt(NEWER)).toBe(false);
  });

  // A document may have 16 MB, and several peers offer the same one at once.
  it('should be fetched from one peer at a time', async () => {
    const {sync, reply, log} = nodeSync();
    reply(1_000);
    const call = jest.fn(() => Promise.resolve(NEWER));
    const catchUp = new PeerCatchUp(sync, {call} as never, log.logger);
    await Promise.all(['a', 'b'].map(ip => catchUp.handleOffer(ip, NEWER)));
    await catchUp.handleOffer('c', NEWER);
    expect(call).toHaveBeenCalledTimes(1);
    expect(log.events('site.adopted')).toMatchObject([{ip: 'a', version: 2}]);
  });
});

describe('proof in the reply of a leader', () => {
  // A leader that was frozen, or cut off, replies to reports before it notices that
  // another one leads: its document was confirmed to nodes as the newest.
  it('should be as old as the last read barrier of a quorum', async () => {
    let [nowMs, barrierMs, hasQuorum] = [0, 30, true];
    const readBarrier = () => {
      nowMs += barrierMs;
      return hasQuorum ? Promise.resolve() : new Promise<void>(() => undefined);
    };
    const log = {status: () => ({term: 1, commitIndex: 1}), readBarrier};
    const site = {version: 1, packed: '', zonesOut: []};
    const state = {site, departures: {snapshot: () => []}};
    const service = new LeaderService({
      replica: () => ({leads: true, current: {log, state}}),
      directory: {noteContact: () => undefined},
      coordinator: {
        reset: () => undefined,
        applyDepartures: () => undefined,
        sync: () => syncState(),
      },
      site: () => undefined,
      nowMs: () => nowMs,
    } as never);
    const provenAge = async (atMs: number) => {
      nowMs = atMs;
      return ((await service.sync({} as never)) as SyncState).provenAgeMs;
    };
    expect(await provenAge(1_000)).toBe(30);
    barrierMs = 0;
    expect(await provenAge(1_200)).toBe(200);
    expect(await provenAge(1_250)).toBe(50);
    hasQuorum = false;
    expect(await provenAge(6_200)).toBe(5_000);
    hasQuorum = true;
    await provenAge(6_300);
    expect(await provenAge(6_350)).toBe(50);
  });
});
