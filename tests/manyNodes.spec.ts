import {SimulatedNode} from '../bench/fuzz/simulatedNode';
import {LeaderClient} from '../src/cluster/leaderClient';
import {findFounders} from '../src/cluster/findFounders';
import type {NodeInfo} from '../src/cluster/messages';
import {NODE_METHODS, PROPOSE_REPLY} from '../src/cluster/messages';
import {NodeDirectory} from '../src/cluster/nodeDirectory';
import {PeerDiscovery} from '../src/cluster/peerDiscovery';
import type {RpcClient} from '../src/cluster/rpcClient';
import {packText} from '../src/site/packText';
import {SILENT_LOGGER} from './logCluster';

const REPLICATED = {
  term: 1,
  index: 1,
  siteVersion: 1,
  packedSite: packText('{}'),
  zonesOut: [],
};

const infoOf = (n: number, hasDisk = true): NodeInfo => ({
  ip: `10.0.${Math.floor(n / 250)}.${n % 250}`,
  hasDisk,
  availabilityZone: 'abc'[n % 3],
});
const SELF = infoOf(0);
const LEADER = infoOf(299);

function directoryOf(seeds: readonly NodeInfo[], nowMs = () => 0) {
  const ips = seeds.map(({ip}) => ip);
  return new NodeDirectory(SELF, ips, () => ({}) as never, nowMs);
}

/** A client whose calls are answered by a function. */
function rpcOf(
  answer: (ip: string, method: string, params: object) => unknown
) {
  const call = async (ip: string, method: string, params: object) =>
    answer(ip, method, params);
  return {call} as unknown as RpcClient;
}

describe('many nodes', () => {
  afterEach(() => jest.useRealTimers());

  // The leader took its own list of nodes as news, so that lost nodes stayed
  // known forever. They would count as nodes without contact, and after enough
  // replaced machines the leader would commit nothing.
  it('should drop a lost node from the directory of the leader', () => {
    let nowMs = 0;
    const leader = new SimulatedNode(
      SELF,
      () => nowMs,
      () => 0.5
    );
    const report = (from: SimulatedNode) => {
      const params = from.sync.takeReport(nowMs);
      const reply = leader.handleReport(params, REPLICATED);
      const sent = {params, sentAtMs: nowMs, isLeader: from === leader};
      from.sync.applyReply(reply, sent, nowMs);
    };
    report(
      new SimulatedNode(
        infoOf(1),
        () => nowMs,
        () => 0.5
      )
    );
    expect(leader.directory.ids()).toEqual([infoOf(1).ip]);
    for (nowMs = 0; nowMs < 40_000; nowMs += 500) report(leader);
    expect(leader.directory.ids()).toEqual([]);
  });

  // A seed still names a lost node after the leader has dropped it.
  it('should not take lost nodes back from a seed', async () => {
    const seed = infoOf(1);
    const directory = directoryOf([seed]);
    const reply = {self: seed, nodes: [infoOf(2)]};
    const replied = Promise.resolve(reply);
    const discovery = new PeerDiscovery(
      directory,
      rpcOf(() => replied),
      SILENT_LOGGER
    );
    discovery.announceToSeeds(1_000);
    await new Promise(setImmediate);
    expect(directory.ids()).toEqual([seed.ip]);
  });

  it('should tell seeds that it leads', () => {
    const seed = infoOf(1);
    const calls: object[] = [];
    const rpc = rpcOf((_ip, _method, params) => calls.push(params));
    const discovery = new PeerDiscovery(
      directoryOf([seed]),
      rpc,
      SILENT_LOGGER
    );
    discovery.announceToSeeds(1_000);
    expect(calls).toEqual([{from: SELF, leads: true}]);
  });

  // Of 300 nodes 9 vote and know a new leader at once. Asking all in turn would
  // take a node without a vote dozens of reports.
  it('should find a new leader through the seeds in one call', async () => {
    const seeds = [infoOf(1), infoOf(2), infoOf(3)];
    const directory = directoryOf(seeds);
    directory.markSeen(Array.from({length: 298}, (_, n) => infoOf(n + 1)));
    let isElected = false;
    const rpc = rpcOf(ip => {
      if (!isElected) throw new Error('no leader');
      if (ip === LEADER.ip) return {kind: 'committed'};
      const isSeed = seeds.slice(1).some(seed => seed.ip === ip);
      return {kind: 'notLeader', leader: isSeed ? LEADER.ip : undefined};
    });
    const client = new LeaderClient({
      rpc,
      directory,
      logger: SILENT_LOGGER,
      metrics: {leaderCalled: () => {}},
      leaderFromLog: () => undefined,
      nowMs: () => 0,
    });
    const find = () =>
      client.call({
        method: NODE_METHODS.propose,
        params: {},
        reply: PROPOSE_REPLY,
        timeoutMs: 1,
        mayOverlap: false,
      });
    for (let call = 0; call < 20; call++)
      await expect(find()).rejects.toThrow();
    isElected = true;
    await find();
    expect(client.leader).toBe(LEADER.ip);
  });

  // A node with a disk that started for the first time waited for a seed that was
  // gone, and never got a log, although the others had founded the group.
  it('should join a group that exists although a seed is gone', async () => {
    jest.useFakeTimers();
    let isFounded = false;
    const rpc = rpcOf(() => {
      isFounded = true;
      throw new Error('gone');
    });
    const directory = directoryOf([infoOf(1)]);
    let founders: readonly string[] | undefined;
    void findFounders(directory, rpc, SILENT_LOGGER, () => isFounded).then(
      found => (founders = found)
    );
    await jest.advanceTimersByTimeAsync(1_000);
    expect(founders).toEqual([]);
  });

  it('should count only messages of a node itself as contact', () => {
    let nowMs = 0;
    const directory = directoryOf([], () => nowMs);
    directory.noteContact(infoOf(1));
    nowMs = 5_000;
    directory.markSeen([infoOf(1), infoOf(2)]);
    expect(directory.lastContactMs(infoOf(1).ip)).toBe(0);
    expect(directory.lastContactMs(infoOf(2).ip)).toBeUndefined();
    expect(directory.zoneOf(infoOf(1).ip)).toBe('b');
    expect(directory.zoneOf(infoOf(9).ip)).toBeUndefined();
  });
});
