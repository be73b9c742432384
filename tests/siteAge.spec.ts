import {NodeSync} from '../src/cluster/nodeSync';
import type {SyncState} from '../src/cluster/messages';
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

describe('confirmation of the site document', () => {
  it('should count from the report that the leader replied to', () => {
    const {sync, reply} = nodeSync();
    expect(sync.view.confirmedAtMs).toBeUndefined();
    reply(VERSION_1, 1_000, 1_600);
    expect(sync.view.confirmedAtMs).toBe(1_000);
    reply(VERSION_1, 900, 1_700);
    expect(sync.view.confirmedAtMs).toBe(1_000);
  });

  // A node that can't decode the newest document still has an older one in force.
  it('should not come with a document that could not be decoded', () => {
    const {sync, reply} = nodeSync();
    reply(VERSION_1, 1_000, 1_001);
    reply({siteVersion: 2, packedSite: packText('broken')}, 2_000, 2_001);
    expect(sync.view.confirmedAtMs).toBe(1_000);
  });

  it('should be logged once when it is overdue, and when it is back', () => {
    const {sync, reply, log} = nodeSync();
    reply(VERSION_1, 1_000, 1_001);
    for (const nowMs of [2_900, 2_901, 3_500])
      sync.checkConfirmation(true, nowMs);
    expect(log.events('site.unconfirmed')).toEqual([
      expect.objectContaining({version: 1, ageMs: 1_901, knowsLeader: true}),
    ]);
    reply(VERSION_1, 4_000, 4_001);
    expect(log.events('site.confirmed')).toEqual([
      expect.objectContaining({version: 1, ageMs: 3_001}),
    ]);
  });
});
