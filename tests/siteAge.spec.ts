import {LeaderService} from '../src/cluster/leaderService';
import {NodeSync} from '../src/cluster/nodeSync';
import type {SyncState} from '../src/cluster/messages';
import {PeerCatchUp} from '../src/cluster/peerCatchUp';
import {TargetTable} from '../src/cluster/targetTable';
import {packText} from '../src/site/packText';
import {recordingLogger} from './fixtures/recordingLogger';
import {syncState} from './fixtures/syncState';

const MAX_SITE_AGE_MS = 1_900;

/** Reports of a node without targets; documents hold their version alone. */
function nodeSync() {
  const log = recordingLogger();
  const pushback = {
    takeReports: () => [],
    closedIds: () => [],
    reportLimitsMissingIn: () => undefined,
    applyReply: () => undefined,
  };
  const sync = new NodeSync({
    nodes: {self: {ip: 'n', hasDisk: false}, markSeen: () => undefined},
    table: new TargetTable(),
    pushback: pushback as never,
    logger: log.logger,
    maxSiteAgeMs: MAX_SITE_AGE_MS,
    decodeSite: text => {
      if (text === 'broken') return {ok: false, problem: text};
      const version = Number(text);
      return {ok: true, site: {version, routes: [], customers: []} as never};
    },
    takeLoads: () => [],
  });
  const reply = (change: Partial<SyncState>, sentAtMs: number, nowMs: number) =>
    sync.applyReply(
      syncState(change),
      {params: sync.takeReport(sentAtMs), sentAtMs, isLeader: false},
      nowMs
    );
  return {sync, reply, log};
}

const VERSION_1 = {siteVersion: 1, packedSite: packText('1')};
const PROVEN = {provenAgeMs: 0};

describe('confirmation of the site document', () => {
  it('should count from the report that the leader replied to', () => {
    const {sync, reply} = nodeSync();
    expect(sync.view.confirmedAtMs).toBeUndefined();
    reply({...VERSION_1, provenAgeMs: 50}, 1_000, 1_600);
    expect(sync.view.confirmedAtMs).toBe(950);
    reply({...VERSION_1, provenAgeMs: 50}, 900, 1_700);
    expect(sync.view.confirmedAtMs).toBe(950);
  });

  // A leader without a proof may have been deposed, and not have noticed yet.
  it('should be assumed older from a leader that states no proof', () => {
    const {sync, reply} = nodeSync();
    reply(VERSION_1, 1_000, 1_001);
    expect(sync.view.confirmedAtMs).toBe(300);
  });

  // A node that can't decode the newest document still has an older one in force.
  it('should not come with a document that could not be decoded', () => {
    const {sync, reply} = nodeSync();
    reply({...VERSION_1, ...PROVEN}, 1_000, 1_001);
    reply(
      {...PROVEN, siteVersion: 2, packedSite: packText('broken')},
      2_000,
      2_001
    );
    expect(sync.view.confirmedAtMs).toBe(1_000);
  });

  it('should be logged once when it is overdue, and when it is back', () => {
    const {sync, reply, log} = nodeSync();
    reply({...VERSION_1, ...PROVEN}, 1_000, 1_001);
    for (const nowMs of [2_900, 2_901, 3_500])
      sync.checkConfirmation(true, nowMs);
    expect(log.events('site.unconfirmed')).toEqual([
      expect.objectContaining({version: 1, ageMs: 1_901, knowsLeader: true}),
    ]);
    reply({...VERSION_1, ...PROVEN}, 4_000, 4_001);
    expect(log.events('site.confirmed')).toEqual([
      expect.objectContaining({version: 1, ageMs: 3_001}),
    ]);
  });
});

describe('committed state of another node', () => {
  const STATE_7 = {
    kind: 'state' as const,
    index: 7,
    siteVersion: 2,
    packedSite: packText('2'),
    zonesOut: ['b'],
  };

  it('should replace an older one, but confirm and grant nothing', () => {
    const [{sync: ahead, reply: replyAhead}, {sync, reply}] = [
      nodeSync(),
      nodeSync(),
    ];
    replyAhead(STATE_7, 900, 901);
    reply({...VERSION_1, ...PROVEN, index: 5}, 1_000, 1_001);
    const {grants, grantedAtMs, confirmedAtMs} = sync.view;
    expect(ahead.committed).toEqual({index: 7, siteVersion: 2});
    expect(ahead.readCommitted({heldVersion: 2})).not.toHaveProperty(
      'packedSite',
      STATE_7.packedSite
    );
    expect(ahead.readCommitted({heldVersion: 1})).toEqual(STATE_7);
    expect(sync.adopt(STATE_7)).toBe(true);
    expect(sync.siteVersion).toBe(2);
    expect(sync.view).toMatchObject({grantedAtMs, confirmedAtMs});
    expect(sync.view.grants).toBe(grants);
    expect([...sync.view.zonesOut]).toEqual(['b']);
  });

  // A deposed leader's late reply, or a peer that is behind, would revert a change.
  it('should not be replaced by an older one', () => {
    const {sync, reply} = nodeSync();
    reply({...VERSION_1, ...PROVEN, index: 5}, 1_000, 1_001);
    sync.adopt(STATE_7);
    reply({...PROVEN, index: 6}, 1_100, 1_101);
    expect(sync.adopt({...STATE_7, index: 6, zonesOut: []})).toBe(false);
    expect(sync.committed).toEqual({index: 7, siteVersion: 2});
    expect([...sync.view.zonesOut]).toEqual(['b']);
    expect(sync.view.confirmedAtMs).toBe(1_000);
  });

  // A node without targets and grants would be ready, and refuse its callers.
  it('should not be taken before the first reply of a leader', () => {
    const {sync} = nodeSync();
    expect(sync.adopt(STATE_7)).toBe(false);
  });

  // A document may have 16 MB, and several peers offer the same one at once.
  it('should be fetched from one peer at a time', async () => {
    const {sync, reply, log} = nodeSync();
    reply({...VERSION_1, ...PROVEN, index: 5}, 1_000, 1_001);
    const call = jest.fn(() => Promise.resolve(STATE_7));
    const catchUp = new PeerCatchUp(sync, {call} as never, log.logger);
    const offers = ['a', 'b', 'c'].map(ip => catchUp.handleOffer(ip, STATE_7));
    await Promise.all(offers);
    await catchUp.handleOffer('d', STATE_7);
    expect(call).toHaveBeenCalledTimes(1);
    expect(sync.siteVersion).toBe(2);
    expect(log.events('site.adopted')).toHaveLength(1);
  });
});

describe('proof in the reply of a leader', () => {
  // A leader that was frozen, or cut off, replies to reports before it notices that
  // another one leads: its document was confirmed to nodes as the newest.
  it('should be as old as the last read barrier of a quorum', async () => {
    let nowMs = 0;
    let hasQuorum = true;
    let barrierMs = 30;
    const readBarrier = () => {
      nowMs += barrierMs;
      return hasQuorum ? Promise.resolve() : new Promise<void>(() => undefined);
    };
    const log = {status: () => ({term: 1, commitIndex: 1}), readBarrier};
    const state = {site: {version: 1, packed: '', zonesOut: []}};
    const service = new LeaderService({
      replica: () => ({leads: true, current: {log, state}}) as never,
      directory: {noteContact: () => undefined} as never,
      coordinator: {reset: () => undefined, sync: () => syncState()} as never,
      site: () => undefined,
      leader: () => undefined,
      logger: recordingLogger().logger,
      nowMs: () => nowMs,
    });
    const provenAge = async (atMs: number) => {
      nowMs = atMs;
      const reply = await service.sync({} as never);
      return reply.kind === 'state' ? reply.provenAgeMs : undefined;
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
