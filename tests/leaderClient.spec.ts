import type {LeaderCall} from '../src/cluster/leaderClient';
import {LeaderClient} from '../src/cluster/leaderClient';
import type {NodeInfo} from '../src/cluster/messages';
import {NODE_METHODS, PROPOSE_REPLY} from '../src/cluster/messages';
import {NodeDirectory} from '../src/cluster/nodeDirectory';
import type {RpcClient} from '../src/cluster/rpcClient';
import {PeerError} from '../src/core/errors';
import {recordingLogger} from './fixtures/recordingLogger';

const PROPOSAL = {
  method: NODE_METHODS.propose,
  params: {},
  reply: PROPOSE_REPLY,
  timeoutMs: 2_500,
};
const nodeIp = (n: number) => `10.0.0.${n}`;
const nowMs = () => performance.now();

/** What a node does with a call. */
type Behavior =
  | 'leads'
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
  readonly directory: NodeDirectory;
  readonly client: LeaderClient;
  readonly log = recordingLogger();

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
    this.client = new LeaderClient(
      rpc as RpcClient,
      this.directory,
      this.log.logger,
      () => undefined,
      nowMs
    );
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
    if (behavior === 'leads') return Promise.resolve({kind: 'committed'});
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

/** The outcome of a call, and how long it took in virtual time. */
async function run<T extends {readonly kind: string}>(
  {client}: FakeCluster,
  call: LeaderCall<T>
): Promise<{readonly err?: Error; readonly tookMs: number}> {
  const startedAtMs = nowMs();
  const outcome = client.call(call).then(
    () => ({tookMs: nowMs() - startedAtMs}),
    (err: Error) => ({err, tookMs: nowMs() - startedAtMs})
  );
  await jest.advanceTimersByTimeAsync(15_000);
  return outcome;
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
    const {err} = await run(cluster, PROPOSAL);
    expect(err?.message).toMatch(/^no leader: /);
    for (const part of ['1 timeout', '2 does not lead', '3 unreachable'])
      expect(err?.message).toContain(`10.0.0.${part}`);
    cluster.set(2, {names: nodeIp(1)});
    const named = await run(cluster, PROPOSAL);
    expect(named.err?.message).toContain(`does not lead, names ${nodeIp(1)}`);
  });

  it('should log how long no leader was known', async () => {
    const cluster = new FakeCluster([], ['leads']);
    jest.advanceTimersByTime(300);
    await run(cluster, PROPOSAL);
    cluster.set(1, 'refuses');
    await run(cluster, PROPOSAL);
    expect(cluster.log.events('leader.found')).toMatchObject([
      {ip: nodeIp(1), leaderlessMs: 300},
    ]);
    expect(cluster.log.events('leader.lost')).toMatchObject([
      {ip: nodeIp(1), err: `${nodeIp(1)} unreachable`, knownMs: 15_000},
    ]);
  });
});
