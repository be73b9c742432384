import {Coordinator} from '../src/cluster/coordinator';
import {LeaderRateLimits} from '../src/cluster/leaderRateLimits';
import type {LimitReport} from '../src/cluster/messages';
import {NodeRateLimits} from '../src/cluster/nodeRateLimits';
import {TargetTable} from '../src/cluster/targetTable';
import {syncState} from './fixtures/syncState';
import {targetRecord} from './fixtures/targetRecord';
import {SILENT_LOGGER} from './logCluster';

const FIRST = {id: 't', bornMs: 1};
const NEXT = {id: 't', bornMs: 2};
/** Time from which the leader grants tokens to a term's first limit. */
const GRANTING_MS = 5_000;

const at = (ms: number) => ({earliestMs: ms, latestMs: ms});

function report(
  perSecond: number | null,
  change: Partial<LimitReport> = {}
): LimitReport {
  const evidence = {perSecond, maxAgeMs: 20, minAgeMs: 10};
  return {...FIRST, wanted: 0, unused: 0, evidence, ...change};
}

/** A node with permits for the target. */
function holder() {
  const permitted = new Set(['t']);
  return {node: 'n', reports: [], permitted, reportPeriodMs: 100};
}

describe('rate limits at the leader', () => {
  function fixture() {
    const table = new TargetTable();
    table.merge(targetRecord(), 0);
    const limits = new LeaderRateLimits(table, SILENT_LOGGER);
    return {table, limits};
  }

  it('should put a reported limit into the record, and remove it at its end', () => {
    const {table, limits} = fixture();
    limits.handleReports('n', [report(4)], at(100), 100);
    expect(table.find('t')?.rateLimit).toBe(4);
    limits.handleReports('n', [report(null)], at(200), 200);
    expect(table.find('t')?.rateLimit).toBeUndefined();
  });

  // Guards against a report of the end that a cut held up: the target has stated a
  // limit since, and nothing would hold the nodes back.
  it('should not end a limit by a report whose age is unknown', () => {
    const {table, limits} = fixture();
    limits.handleReports('n', [report(1)], at(100), 100);
    const heldUp = {earliestMs: -Infinity, latestMs: 5_000};
    limits.handleReports('m', [report(null)], heldUp, 5_000);
    expect(table.find('t')?.rateLimit).toBe(1);
  });

  // Guards against the next boot of a target that is held to the limit of the last.
  it('should not apply a limit to the next boot of the target', () => {
    const {table, limits} = fixture();
    limits.handleReports('n', [report(1)], at(100), 100);
    table.merge(targetRecord({bornMs: 2}), 200);
    limits.applyTo([NEXT]);
    expect(table.find('t')?.rateLimit).toBeUndefined();
    limits.handleReports('n', [report(1)], at(300), 300);
    expect(table.find('t')?.rateLimit).toBeUndefined();
    const grant = limits.grant(holder(), GRANTING_MS);
    limits.evict(GRANTING_MS);
    expect(grant).toEqual({});
  });

  // A new leader may have started just now, and know no target yet.
  it('should keep a limit until the record of the target comes', () => {
    const table = new TargetTable();
    const limits = new LeaderRateLimits(table, SILENT_LOGGER);
    limits.handleReports('n', [report(1)], at(100), 100);
    limits.evict(200);
    table.merge(targetRecord(), 300);
    limits.applyTo([FIRST]);
    expect(table.find('t')?.rateLimit).toBe(1);
  });

  it('should forget a limit some time after its end', () => {
    const {limits} = fixture();
    expect(limits.isEmpty).toBe(true);
    limits.handleReports('n', [report(1)], at(100), 100);
    limits.handleReports('n', [report(null)], at(200), 200);
    limits.evict(60_000);
    expect(limits.isEmpty).toBe(false);
    limits.evict(61_000);
    expect(limits.isEmpty).toBe(true);
  });

  it('should start a term with the limits of the records', () => {
    const {table, limits} = fixture();
    table.setRateLimit('t', 2);
    limits.reset(1_000);
    expect(limits.grant(holder(), GRANTING_MS)).toEqual({t: 1});
    limits.handleReports('n', [report(null)], at(900), 1_100);
    expect(table.find('t')?.rateLimit).toBe(2);
    limits.handleReports('n', [report(null)], at(1_100), 1_100);
    expect(table.find('t')?.rateLimit).toBeUndefined();
  });

  it('should take back unused tokens, but none of an earlier leader', () => {
    const {limits} = fixture();
    limits.handleReports('n', [report(1)], at(100), 100);
    const grant = () => limits.grant(holder(), GRANTING_MS);
    const returned = report(1, {unused: 1, evidence: undefined});
    expect(grant()).toEqual({t: 1});
    const earlier = {earliestMs: -Infinity, latestMs: GRANTING_MS};
    limits.handleReports('n', [returned], earlier, GRANTING_MS);
    expect(grant()).toEqual({});
    limits.handleReports('n', [returned], at(GRANTING_MS), GRANTING_MS);
    expect(grant()).toEqual({t: 1});
  });
});

describe('rate limits in reports to the coordinator', () => {
  // Guards against a report of the end that was held up on its way: the target has
  // stated a limit since, and nothing would hold the nodes back.
  it('should not end by a report of the end that was held up', () => {
    let nowMs = 0;
    const table = new TargetTable();
    const coordinator = new Coordinator(
      table,
      SILENT_LOGGER,
      () => nowMs,
      60_000,
      () => undefined
    );
    const sync = (ip: string, limits: LimitReport[], leaderTimeMs?: number) =>
      coordinator.sync(
        {
          from: {ip, hasDisk: false},
          bootId: ip,
          siteVersion: 1,
          tableRevision: 0,
          tableTerm: 1,
          records: [targetRecord()],
          loads: [],
          limits,
          leaderTimeMs,
        },
        {term: 1, index: 1, siteVersion: 1, packedSite: '', zonesOut: []},
        undefined,
        {revision: 1, all: () => []}
      );
    const state = sync('n', []);
    nowMs = 1_000;
    sync('m', [report(1)], nowMs);
    expect(state.leaderTimeMs).toBe(0);
    nowMs = 1_500;
    sync('n', [report(null)], 500);
    expect(table.find('t')?.rateLimit).toBe(1);
    sync('n', [report(null)], undefined);
    expect(table.find('t')?.rateLimit).toBe(1);
    nowMs = 2_000;
    sync('n', [report(null)], 1_900);
    expect(table.find('t')?.rateLimit).toBeUndefined();
  });
});

describe('rate limits at a node', () => {
  function fixture(nodes = 1) {
    const table = new TargetTable();
    table.merge(targetRecord(), 0);
    const all = Array.from({length: nodes}, (_, i) => `n${i}`);
    const limits = new NodeRateLimits(table, () => ({self: 'n0', all}));
    const read = (perSecond: number, sentAtMs: number, nowMs: number) =>
      limits.addEvidence(FIRST, {
        perSecond,
        notBeforeMs: sentAtMs,
        notAfterMs: nowMs,
      });
    return {table, limits, read};
  }

  // Guards against requests between the response with the limit and the reply of
  // the leader that knows of it.
  it('should hold a limit that the leader does not know yet', () => {
    const {table, limits, read} = fixture();
    limits.applyReply(syncState(), [], 0, 0);
    expect(limits.allows(FIRST, 10)).toBe(true);
    read(1, 5, 20);
    expect(limits.allows(FIRST, 30)).toBe(false);
    const reports = limits.takeReports(40);
    expect(reports).toMatchObject([
      {id: 't', evidence: {perSecond: 1, maxAgeMs: 35, minAgeMs: 20}},
    ]);
    table.setRateLimit('t', 1);
    limits.applyReply(syncState({tokens: {t: 1}}), reports, 40, 50);
    expect(limits.takeReports(60)).toEqual([]);
    expect(limits.allows(FIRST, 60)).toBe(true);
    limits.spend(FIRST, 60);
    expect(limits.allows(FIRST, 70)).toBe(false);
  });

  it('should report a limit again whose report got no reply', () => {
    const {limits, read} = fixture();
    read(1, 5, 20);
    expect(limits.takeReports(40)).toHaveLength(1);
    expect(limits.takeReports(140)).toMatchObject([
      {evidence: {perSecond: 1, minAgeMs: 120}},
    ]);
  });

  it('should leave the end of a limit to the leader', () => {
    const {table, limits, read} = fixture();
    table.setRateLimit('t', 1);
    limits.applyReply(syncState(), [], 0, 0);
    read(Infinity, 5, 20);
    expect(limits.allows(FIRST, 30)).toBe(false);
    expect(limits.takeReports(40)).toMatchObject([
      {evidence: {perSecond: null}},
    ]);
  });

  // Guards against a reply that was held up: the leader has granted its tokens again
  // meanwhile.
  it('should not prolong tokens by a reply that was held up', () => {
    const {table, limits} = fixture();
    table.setRateLimit('t', 1);
    limits.applyReply(syncState({tokens: {t: 1}}), [], 1_000, 1_690);
    expect(limits.allows(FIRST, 1_695)).toBe(true);
    expect(limits.allows(FIRST, 1_700)).toBe(false);
  });

  it('should not hold the next boot to the limit of the last', () => {
    const {table, limits, read} = fixture();
    limits.applyReply(syncState(), [], 0, 0);
    read(1, 5, 20);
    table.merge(targetRecord({bornMs: 2}), 30);
    expect(limits.allows(NEXT, 40)).toBe(true);
    limits.evict();
    expect(limits.takeReports(50)).toEqual([]);
  });

  // Guards against a leader that has just started: its records lack the limit, and
  // all nodes would send at once.
  it('should report limits that the records of a new leader lack', () => {
    const {table, limits} = fixture();
    table.setRateLimit('t', 1);
    limits.applyReply(syncState(), [], 0, 0);
    limits.reportMissingIn([targetRecord()]);
    table.mergeShared(targetRecord(), 100);
    expect(limits.allows(FIRST, 110)).toBe(false);
    expect(limits.takeReports(120)).toMatchObject([{evidence: {perSecond: 1}}]);
  });

  // Guards against ages that JSON cannot carry: the leader would reject the report.
  it('should report finite ages', () => {
    const {table, limits} = fixture();
    table.setRateLimit('t', 1);
    limits.reportMissingIn([]);
    const [{evidence} = report(0)] = limits.takeReports(120);
    expect(Number.isFinite(evidence?.maxAgeMs)).toBe(true);
    expect(Number.isFinite(evidence?.minAgeMs)).toBe(true);
  });

  it('should not report limits that the records of a new leader have', () => {
    const {table, limits} = fixture();
    table.setRateLimit('t', 1);
    limits.reportMissingIn([targetRecord({rateLimit: 1})]);
    expect(limits.takeReports(120)).toEqual([]);
  });

  // Guards against a node that is cut off and sends on as if it held tokens, and
  // against one that sends nothing while no leader can be reached for long.
  it('should keep to its safe share without a leader', () => {
    const {table, limits} = fixture();
    table.setRateLimit('t', 1);
    limits.applyReply(syncState(), [], 0, 0);
    expect(limits.allows(FIRST, 1_000)).toBe(false);
    let sent = 0;
    for (let atMs = 2_000; atMs < 6_000; atMs += 10) {
      if (!limits.allows(FIRST, atMs)) continue;
      limits.spend(FIRST, atMs);
      sent++;
    }
    expect(sent).toBe(3);
  });

  // While nodes are upgraded one by one, the leader may not know of limits.
  it('should keep a limit, and to the safe share, under a leader of an older version', () => {
    const {limits, read} = fixture();
    read(1, 5, 20);
    const reports = limits.takeReports(40);
    limits.applyReply(syncState({tokens: undefined}), reports, 40, 50);
    expect(limits.limitOf(FIRST)).toBe(1);
    expect(limits.allows(FIRST, 60)).toBe(true);
  });
});

describe('rate limits in the table of targets', () => {
  it('should survive announcements of the same boot alone', () => {
    const table = new TargetTable();
    table.merge(targetRecord(), 0);
    table.setRateLimit('t', 1);
    table.merge(targetRecord({sequence: 2}), 10);
    expect(table.find('t')?.rateLimit).toBe(1);
    table.merge(targetRecord({sequence: 3, rateLimit: 9}), 10);
    expect(table.find('t')?.rateLimit).toBe(1);
    table.merge(targetRecord({bornMs: 2}), 20);
    expect(table.find('t')?.rateLimit).toBeUndefined();
  });

  // Guards against a limit that never arrives: the node has a newer announcement than
  // the leader had when it learned the limit.
  it('should be taken from an older record of the leader', () => {
    const table = new TargetTable();
    table.merge(targetRecord({sequence: 9}), 0);
    table.mergeShared(targetRecord({sequence: 3, rateLimit: 1}), 10);
    expect(table.find('t')).toMatchObject({sequence: 9, rateLimit: 1});
    table.mergeShared(targetRecord({bornMs: 0, rateLimit: 7}), 20);
    expect(table.find('t')?.rateLimit).toBe(1);
  });
});
