import {CrashedRequests} from '../src/cluster/crashedRequests';
import type {CrashNotices} from '../src/cluster/crashNotices';
import {PeerError} from '../src/core/errors';
import {CRASH_NOTICES} from '../src/cluster/crashNotices';
import {recordingLogger} from './fixtures/recordingLogger';

const REFUSED = {kind: 'unreachable', refusedByHost: true} as const;

/** Nodes that call each other within the process. */
class Cluster {
  readonly nodes = new Map<string, CrashedRequests>();
  readonly logs = recordingLogger();
  /** Calls by the node that is called. */
  readonly calls: string[] = [];
  /** Nodes that do not reply in time. */
  readonly frozen = new Set<string>();
  /** Nodes that can't be reached. */
  readonly cut = new Set<string>();
  /** Nodes whose process has ended; their machines refuse connections. */
  readonly ended = new Set<string>();

  constructor(count: number) {
    for (let i = 0; i < count; i++) this.start(`n${i}`);
  }

  start(ip: string): CrashedRequests {
    const node = new CrashedRequests({
      logger: this.logs.logger,
      nowMs: () => Date.now(),
      random: () => 0.9,
      peers: () => [...this.nodes.keys()].filter(other => other !== ip),
      send: (to, notices) => this.send(ip, to, notices),
    });
    this.nodes.set(ip, node);
    return node;
  }

  node(ip: string): CrashedRequests {
    const node = this.nodes.get(ip);
    if (node === undefined) throw new Error(`no node ${ip}`);
    return node;
  }

  /** Nodes at which no target gets the request. */
  refusing(digest: string): number {
    return [...this.nodes.values()].filter(node =>
      node.isExhausted(request(digest))
    ).length;
  }

  private async send(from: string, to: string, notices: CrashNotices) {
    this.calls.push(to);
    if (this.cut.has(to) || this.cut.has(from)) throw new Error('cut off');
    if (this.ended.has(to))
      throw new PeerError(REFUSED, 'notify', to, 'refused');
    if (this.frozen.has(to)) {
      await new Promise(resolve => setTimeout(resolve, 300));
      throw new Error('no reply');
    }
    const parsed = CRASH_NOTICES.parse(JSON.parse(JSON.stringify(notices)));
    return this.node(to).handle(parsed);
  }
}

function request(digest: string) {
  return {digest, endsAtMs: Infinity};
}

function crash(boot: string, ...digests: readonly string[]) {
  const requests = digests.map(request);
  return {service: 's', boot, atMs: Date.now(), requests};
}

describe('requests under which targets crashed, at all nodes', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });
  afterEach(() => {
    jest.useRealTimers();
  });

  // Guards against a retry that reaches another node before the evidence does.
  it('should be known to all nodes before the callers are answered', async () => {
    const cluster = new Cluster(4);
    await cluster.node('n0').noteCrash(crash('b1', 'd', 'sound'));
    expect(cluster.refusing('d')).toBe(0);
    await cluster.node('n1').noteCrash(crash('b2', 'd'));
    expect(cluster.refusing('d')).toBe(4);
    expect(cluster.refusing('sound')).toBe(0);
    expect(cluster.logs.events('crash.shared').at(-1)).toMatchObject({
      boot: 'b2',
      mostCrashes: 2,
      nodes: 3,
      informed: 3,
    });
  });

  // Guards against a sender that calls hundreds of nodes by itself.
  it('should be known to 300 nodes by way of relays', async () => {
    const cluster = new Cluster(300);
    await cluster.node('n0').noteCrash(crash('b1', 'd'));
    await cluster.node('n7').noteCrash(crash('b2', 'd'));
    expect(cluster.refusing('d')).toBe(300);
    expect(cluster.calls.length).toBe(2 * 299);
  });

  it.each(['frozen', 'cut'] as const)(
    'should be known to the others when the first relay is %s',
    async fault => {
      const cluster = new Cluster(100);
      const [relay = ''] = [...cluster.nodes.keys()].sort().slice(1);
      cluster[fault].add(relay);
      for (const boot of ['b1', 'b2']) {
        const noted = cluster.node('n0').noteCrash(crash(boot, 'd'));
        await jest.advanceTimersByTimeAsync(120);
        await noted;
      }
      expect(cluster.refusing('d')).toBe(99);
    }
  );

  // Guards against callers that wait for a node that is gone.
  it('should keep callers waiting for a silent node for a bounded time', async () => {
    const cluster = new Cluster(4);
    cluster.frozen.add('n3');
    let isNoted = false;
    const noted = cluster.node('n0').noteCrash(crash('b1', 'd'));
    void noted.then(() => (isNoted = true));
    await jest.advanceTimersByTimeAsync(119);
    expect(isNoted).toBe(false);
    await jest.advanceTimersByTimeAsync(1);
    expect(isNoted).toBe(true);
  });

  // Guards against a node that is cut off and repeats what others then get as well.
  it('should be refused after one crash that the others do not know of', async () => {
    const cluster = new Cluster(4);
    const cutOff = cluster.node('n0');
    cluster.cut.add('n0');
    await cutOff.noteCrash(crash('b1', 'd'));
    expect(cluster.refusing('d')).toBe(1);
    expect(cutOff.isExhausted(request('other'))).toBe(false);
  });

  // Guards against sound requests that are given up after one crash because a node has
  // ended, which can take no retry.
  it.each([4, 100])(
    'should not be refused after one crash while one of %d nodes has ended',
    async count => {
      const cluster = new Cluster(count);
      const [relay = ''] = [...cluster.nodes.keys()].sort().slice(1);
      cluster.ended.add(relay);
      for (const digest of ['d', 'e']) {
        await cluster.node('n0').noteCrash(crash('b1', digest));
        expect(cluster.refusing(digest)).toBe(0);
        await cluster.node('n2').noteCrash(crash('b2', digest));
        expect(cluster.refusing(digest)).toBe(count - 1);
      }
    }
  );

  it('should tell a node again that a call did not reach', async () => {
    const cluster = new Cluster(3);
    cluster.cut.add('n2');
    await cluster.node('n0').noteCrash(crash('b1', 'd'));
    await cluster.node('n0').noteCrash(crash('b2', 'd'));
    expect(cluster.refusing('d')).toBe(2);
    cluster.cut.clear();
    await jest.advanceTimersByTimeAsync(300);
    expect(cluster.refusing('d')).toBe(3);
  });

  // Guards against a node that was restarted or cut off and knows nothing.
  it('should be asked for by a node that was out of contact', async () => {
    const cluster = new Cluster(3);
    await cluster.node('n0').noteCrash(crash('b1', 'd'));
    await cluster.node('n0').noteCrash(crash('b2', 'd'));
    const restarted = cluster.start('n2');
    expect(restarted.isExhausted(request('d'))).toBe(false);
    await restarted.noteContact(100);
    expect(restarted.isExhausted(request('d'))).toBe(true);
    const callCount = cluster.calls.length;
    await restarted.noteContact(100);
    expect(cluster.calls.length).toBe(callCount);
  });

  // Guards against calls for each report of a large fleet, which are seconds apart.
  it('should not be asked for after each report of a large fleet', async () => {
    const cluster = new Cluster(3);
    const node = cluster.node('n0');
    await node.noteContact(3_000);
    const callCount = cluster.calls.length;
    await jest.advanceTimersByTimeAsync(3_000);
    await node.noteContact(3_000);
    expect(cluster.calls.length).toBe(callCount);
  });

  it('should be counted together with what the others know', async () => {
    const cluster = new Cluster(3);
    await cluster.node('n0').noteCrash(crash('b1', 'd'));
    const restarted = cluster.start('n2');
    await restarted.noteCrash(crash('b2', 'd'));
    expect(restarted.crashCount('d')).toBe(2);
  });

  it('should be cleared at all nodes by a service and by an operator', async () => {
    const cluster = new Cluster(3);
    const blame = async (digest: string) => {
      await cluster.node('n0').noteCrash(crash('b1', digest));
      await cluster.node('n1').noteCrash(crash('b2', digest));
    };
    await blame('popular');
    await blame('lifted');
    await jest.advanceTimersByTimeAsync(5);
    cluster.node('n2').noteServed('popular');
    expect(await cluster.node('n2').lift('lifted')).toBe(true);
    expect(await cluster.node('n2').lift('unknown')).toBe(false);
    await jest.advanceTimersByTimeAsync(1);
    expect(cluster.refusing('popular')).toBe(0);
    expect(cluster.refusing('lifted')).toBe(0);
    expect(cluster.node('n0').list()).toEqual([]);
  });

  // A late order to lift a request would also clear what happened after it was sent.
  it('should tell whether a target crashed since an order was sent', async () => {
    const cluster = new Cluster(3);
    const atMs = Date.now();
    await cluster.node('n0').noteCrash({...crash('b1', 'd'), atMs});
    expect(cluster.node('n0').hasCrashedSince('d', atMs - 1)).toBe(true);
    expect(cluster.node('n0').hasCrashedSince('d', atMs)).toBe(false);
    expect(cluster.node('n0').hasCrashedSince('unknown', 0)).toBe(false);
  });

  it('should not tell of services of other requests', async () => {
    const cluster = new Cluster(3);
    cluster.node('n0').noteServed('sound');
    await jest.advanceTimersByTimeAsync(1);
    expect(cluster.calls).toEqual([]);
  });
});
