import {Coordinator} from '../src/cluster/coordinator';
import {TargetRests} from '../src/cluster/targetRests';
import {TargetTable} from '../src/cluster/targetTable';
import {restRetryMs} from '../src/policy/admission/restRetry';
import {targetRecord} from './fixtures/targetRecord';
import {SILENT_LOGGER} from './logCluster';

const TARGET = {id: 't', bornMs: 1};
const NEXT = {id: 't', bornMs: 2};

describe('rests of targets', () => {
  it('should block requests until the latest end that was asked for', () => {
    const rests = new TargetRests();
    rests.begin(TARGET, 3_000, 0);
    rests.begin(TARGET, 500, 1_000);
    expect(rests.blockedMs(TARGET, 2_000)).toBe(1_000);
    expect(rests.ids(2_000)).toEqual(['t']);
    expect(rests.blockedMs(TARGET, 3_000)).toBe(0);
    expect(rests.ids(3_000)).toEqual([]);
  });

  // Guards against the flood that returns when a rest ends: the target has no room yet
  // and turns all of it away.
  it('should let one request through at its end until that is served', () => {
    const rests = new TargetRests();
    rests.begin(TARGET, 3_000, 0);
    rests.noteRequest(TARGET, 3_100);
    expect(rests.blockedMs(TARGET, 3_110)).toBeGreaterThan(0);
    rests.noteServed(TARGET, 3_200);
    expect(rests.blockedMs(TARGET, 3_210)).toBe(0);
  });

  it('should let another request through when the first got no response', () => {
    const rests = new TargetRests();
    rests.begin(TARGET, 3_000, 0);
    rests.noteRequest(TARGET, 3_100);
    expect(rests.blockedMs(TARGET, 4_100)).toBe(0);
  });

  // Guards against a response to an earlier request that ends the rest.
  it('should not end by a request that is served meanwhile', () => {
    const rests = new TargetRests();
    rests.begin(TARGET, 3_000, 0);
    rests.noteServed(TARGET, 1_000);
    expect(rests.blockedMs(TARGET, 1_010)).toBe(1_990);
  });

  it('should not apply to the next boot of the target', () => {
    const rests = new TargetRests();
    rests.begin(TARGET, 3_000, 0);
    expect(rests.blockedMs(NEXT, 10)).toBe(0);
    expect(rests.remainingMs(NEXT, 10)).toBe(0);
  });

  it('should be forgotten with the target', () => {
    const rests = new TargetRests();
    const table = new TargetTable();
    table.merge(targetRecord(), 0);
    rests.begin(TARGET, 3_000, 0);
    rests.evict(table);
    expect(rests.ids(10)).toEqual(['t']);
    rests.evict(new TargetTable());
    expect(rests.ids(10)).toEqual([]);
  });

  it('should be told to callers with a spread, and never too short', () => {
    expect(restRetryMs(3_000, () => 0)).toBe(3_000);
    expect(restRetryMs(3_000, () => 0.999)).toBeGreaterThan(3_100);
    expect(restRetryMs(3_000, () => 0.999)).toBeLessThan(3_200);
    expect(restRetryMs(10, () => 0.999)).toBeGreaterThan(100);
  });
});

describe('rests in reports to the leader', () => {
  const service = {
    name: 's',
    healthPath: '/',
    maxConnections: 10,
    coldRequestsPerSecond: 0,
  };

  /** Reports of two nodes; returns the grant of the second. */
  function grantAfter(closedAtFirst: string[], closedAtSecond: string[]) {
    let nowMs = 1_000;
    const coordinator = new Coordinator(
      new TargetTable(),
      SILENT_LOGGER,
      () => nowMs,
      60_000,
      () => undefined
    );
    const sync = (ip: string, closed: string[]) => {
      nowMs += 500;
      return coordinator.sync(
        {
          from: {ip, hasDisk: false},
          bootId: ip,
          siteVersion: 1,
          tableRevision: 0,
          tableTerm: 1,
          records: [
            targetRecord({id: 't0', address: '10.0.0.1:80', slots: 4}),
            targetRecord({id: 't1', address: '10.0.0.2:80', slots: 4}),
          ],
          loads: [
            {
              service: 's',
              inFlight: 0,
              waiting: 0,
              arrivals: 1,
              byTarget: {},
              pacesMs: {},
            },
          ],
          closed,
        },
        {term: 1, index: 1, siteVersion: 1, packedSite: '', zonesOut: []},
        {
          version: 1,
          routes: [],
          services: new Map([['s', service]]),
          limits: {
            maxHeaderBytes: 1,
            maxBodyBytes: 1,
            headerTimeoutMs: 1,
            idleTimeoutMs: 1,
          },
          customers: [],
        },
        {revision: 1, all: () => []}
      );
    };
    let grant;
    for (let i = 0; i < 6; i++) {
      sync('first', closedAtFirst);
      grant = sync('second', closedAtSecond).grants[0];
    }
    return grant;
  }

  it('should leave the permits of a target at rest to other nodes', () => {
    expect(grantAfter(['t0'], [])?.permits).toMatchObject({t0: 8});
    expect(grantAfter([], ['t0'])?.permits?.['t0']).toBeUndefined();
  });

  // Guards against requests that are admitted for slots that no node may use.
  it('should take slots of a target that rests for all nodes off the limit', () => {
    const total = ({concurrency = 0, free = 0} = {}) => concurrency + free;
    const all = total(grantAfter([], []));
    expect(total(grantAfter(['t0'], []))).toBe(all);
    expect(total(grantAfter(['t0'], ['t0']))).toBeLessThan(all);
  });
});
