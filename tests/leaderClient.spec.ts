import {LeaderClient} from '../src/cluster/leaderClient';
import type {NodeInfo} from '../src/cluster/messages';
import {
  NODE_METHODS,
  PROPOSE_REPLY,
  READ_SITE_REPLY,
} from '../src/cluster/messages';
import {NodeDirectory} from '../src/cluster/nodeDirectory';
import type {RpcClient} from '../src/cluster/rpcClient';
import {PeerError} from '../src/core/errors';
import {recordingLogger} from './fixtures/recordingLogger';

const PROPOSAL = {
  method: NODE_METHODS.propose,
  params: {},
  reply: PROPOSE_REPLY,
  timeoutMs: 2_500,
  mayOverlap: false,
};
const READ = {
  method: NODE_METHODS.readSite,
  params: {heldVersion: 0},
  reply: READ_SITE_REPLY,
  timeoutMs: 700,
  mayOverlap: true,
};
/** Time from a failed read to the next one. */
const RETRY_MS = 50;
const STEP_MS = 10;
const SLOW_REPLY_MS = 600;
/** Nodes that are not seen drop out of the directory soon after. */
const MAX_SEARCH_MS = 18_000;
const nodeIp = (n: number) => `10.0.0.${n}`;
const nowMs = () => performance.now();

/** What a node does with a call. */
type Behavior =
  | 'leads'
  /** Replies late, as the leader. */
  | 'leadsSlowly'
  /** Never replies. */
  | 'hangs'
  | 'refuses'
  /** Names this address as the leader. */
  | {readonly names: string | undefined};

/** Node 0 among others that behave as set. */
class FakeCluster {
  readonly behaviors = new Map<string, Behavior>();
  /** Addresses in the order of the calls. */
  readonly called: string[] = [];
  readonly outcomes: string[] = [];
  readonly directory: NodeDirectory;
  readonly client: LeaderClient;
  readonly log = recordingLogger();
  leaderFromLog: string | undefined;

  constructor(seeds: readonly number[], behaviors: readonly Behavior[]) {
    const infos = behaviors.map((behavior, i): NodeInfo => {
      this.behaviors.set(nodeIp(i + 1), behavior);
      return {ip: nodeIp(i + 1), hasDisk: true};
    });
    this.directory = new NodeDirectory(
      {ip: nodeIp(0), hasDisk: false},
      seeds.map(nodeIp),
      () => ({}) as never,
      nowMs
    );
    this.directory.markSeen(infos);
    const rpc = {
      call: (...args: Parameters<RpcClient['call']>) => this.answer(...args),
    };
    this.client = new LeaderClient({
      rpc: rpc as RpcClient,
      directory: this.directory,
      logger: this.log.logger,
      metrics: {leaderCalled: outcome => this.outcomes.push(outcome)},
      leaderFromLog: () => this.leaderFromLog,
      nowMs,
    });
  }

  set(n: number, behavior: Behavior): void {
    this.behaviors.set(nodeIp(n), behavior);
  }

  private answer(
    ip: string,
    method: string,
    _params: unknown,
    timeoutMs: number
  ): Promise<unknown> {
    this.called.push(ip);
    const behavior = this.behaviors.get(ip) ?? 'hangs';
    const isProposal = method === NODE_METHODS.propose;
    const reply = {kind: isProposal ? 'committed' : 'site', version: 1};
    if (behavior === 'leads') return Promise.resolve(reply);
    if (behavior === 'leadsSlowly')
      return new Promise(resolve =>
        setTimeout(() => resolve(reply), SLOW_REPLY_MS)
      );
    if (typeof behavior === 'object')
      return Promise.resolve({kind: 'notLeader', leader: behavior.names});
    const fault =
      behavior === 'refuses'
        ? {kind: 'unreachable' as const, refusedByHost: true}
        : {kind: 'timeout' as const};
    const delayMs = behavior === 'refuses' ? 0 : timeoutMs;
    return new Promise((_resolve, reject) =>
      setTimeout(() => reject(new PeerError(fault, method, ip, '')), delayMs)
    );
  }
}

/** Advances virtual time until the promise is settled; returns how it ended. */
async function settle(promise: Promise<unknown>): Promise<Error | undefined> {
  let outcome: {readonly err?: Error} | undefined;
  promise.then(
    () => (outcome = {}),
    (err: Error) => (outcome = {err})
  );
  while (outcome === undefined) await jest.advanceTimersByTimeAsync(STEP_MS);
  return outcome.err;
}

/** Virtual time until a node that reads again and again finds the leader. */
async function timeToFind({client}: FakeCluster): Promise<number> {
  const startedAtMs = nowMs();
  while ((await settle(client.call(READ))) !== undefined) {
    await jest.advanceTimersByTimeAsync(RETRY_MS);
    if (nowMs() - startedAtMs > MAX_SEARCH_MS) return Infinity;
  }
  return nowMs() - startedAtMs;
}

describe('the search for the leader', () => {
  beforeEach(() => jest.useFakeTimers());
  afterEach(() => jest.useRealTimers());

  // The error of the last node alone does not tell whether none leads or the leader
  // was not found.
  it('should name each node that was tried and why it failed', async () => {
    const cluster = new FakeCluster(
      [],
      ['hangs', {names: undefined}, 'refuses']
    );
    const err = await settle(cluster.client.call(PROPOSAL));
    expect(err?.message).toMatch(/^no leader: /);
    for (const part of ['1 timeout', '2 does not lead', '3 unreachable'])
      expect(err?.message).toContain(`10.0.0.${part}`);
    expect(new Set(cluster.outcomes)).toEqual(
      new Set(['timeout', 'notLeader', 'unreachable'])
    );
    cluster.set(2, {names: nodeIp(1)});
    const named = await settle(cluster.client.call(PROPOSAL));
    expect(named?.message).toContain(`does not lead, names ${nodeIp(1)}`);
  });

  it('should log how long no leader was known', async () => {
    const cluster = new FakeCluster([], ['leads']);
    jest.advanceTimersByTime(300);
    await settle(cluster.client.call(PROPOSAL));
    jest.advanceTimersByTime(500);
    cluster.set(1, 'refuses');
    await settle(cluster.client.call(PROPOSAL));
    expect(cluster.log.events('leader.found')).toMatchObject([
      {ip: nodeIp(1), leaderlessMs: 300},
    ]);
    expect(cluster.log.events('leader.lost')).toMatchObject([
      {ip: nodeIp(1), err: `${nodeIp(1)} unreachable`, knownMs: 510},
    ]);
  });

  // A node that lost its leader called the lost one again each time another node
  // named it, and waited for each timeout.
  it('should find a new leader while others still name the lost one', async () => {
    const names = {names: nodeIp(1)};
    const cluster = new FakeCluster(
      [1, 2, 3],
      ['leads', names, names, names, names, 'hangs']
    );
    await settle(cluster.client.call(READ));
    cluster.set(1, 'hangs');
    cluster.set(6, 'leads');
    expect(await timeToFind(cluster)).toBeLessThan(1_000);
  });

  // Dead seeds and machines that were replaced took every second try.
  it('should find a leader among many addresses that are gone', async () => {
    const dead = Array.from({length: 12}, () => 'hangs' as const);
    const cluster = new FakeCluster(
      [1, 2, 3],
      [...dead, {names: undefined}, 'leads']
    );
    expect(await timeToFind(cluster)).toBeLessThan(1_000);
  });

  it('should propose to a leader that is found while an earlier one hangs', async () => {
    const cluster = new FakeCluster([1], ['leads', 'leads']);
    await settle(cluster.client.call(PROPOSAL));
    cluster.set(1, 'hangs');
    cluster.called.length = 0;
    const startedAtMs = nowMs();
    const outcome = cluster.client.call(PROPOSAL);
    await jest.advanceTimersByTimeAsync(1_000);
    expect(cluster.called).toEqual([nodeIp(1)]);
    cluster.client.noteLeader(nodeIp(2));
    expect(await settle(outcome)).toBeUndefined();
    expect(nowMs() - startedAtMs).toBeLessThan(1_100);
  });

  // Nodes without a disk name a lost leader until they find the next one.
  it('should call a node last that did not answer lately', async () => {
    const names = {names: nodeIp(1)};
    const cluster = new FakeCluster([1, 2], ['hangs', names, names]);
    await settle(cluster.client.call(READ));
    cluster.called.length = 0;
    await settle(cluster.client.call(READ));
    expect(cluster.called.toSorted()).toEqual([1, 2, 3].map(nodeIp));
    expect(cluster.called.at(-1)).toBe(nodeIp(1));
    cluster.client.noteContact(nodeIp(1));
    cluster.called.length = 0;
    await settle(cluster.client.call(READ));
    expect(cluster.called.at(-1)).not.toBe(nodeIp(1));
  });

  // A node's own log names a lost leader until its election timeout.
  it('should call a leader that it found while its log names a lost one', async () => {
    const names = {names: nodeIp(1)};
    const cluster = new FakeCluster(
      [2],
      ['hangs', names, names, 'leads', names]
    );
    cluster.leaderFromLog = nodeIp(1);
    await settle(cluster.client.call(READ));
    await jest.advanceTimersByTimeAsync(READ.timeoutMs);
    cluster.called.length = 0;
    await settle(cluster.client.call(READ));
    expect(cluster.called).toEqual([nodeIp(4)]);
  });

  it('should call few other nodes while the leader is slow', async () => {
    const others = Array.from({length: 20}, () => ({names: nodeIp(1)}));
    const cluster = new FakeCluster([1], ['leadsSlowly', ...others]);
    cluster.client.noteLeader(nodeIp(1));
    expect(await settle(cluster.client.call(READ))).toBeUndefined();
    expect(cluster.called.length).toBeLessThanOrEqual(6);
  });
});
