import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {RankCaller} from '../src/ranks/rankCaller';
import {relayToRanks} from '../src/ranks/rankRelay';
import {RELAY_PARAMS} from '../src/ranks/relayMessages';

const RANKS = 24;
const CALL = {method: 'POST', path: '/order', body: '{"version":7}'} as const;

/** A rank that notes what it was sent. */
class FakeRank {
  readonly bodies: string[] = [];
  private readonly server = http.createServer((req, res) => {
    let body = '';
    req.on('data', chunk => (body += String(chunk)));
    req.on('end', () => {
      this.bodies.push(body);
      res.end('taken');
    });
  });

  async listen(): Promise<string> {
    await new Promise<void>(done => this.server.listen(0, '127.0.0.1', done));
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

interface Rank {
  readonly address: string;
  readonly availabilityZone: string;
}

let fakes: FakeRank[];
let ranks: Rank[];
let lost: Set<string>;
let relayed: string[];

beforeEach(async () => {
  fakes = Array.from({length: RANKS}, () => new FakeRank());
  const addresses = await Promise.all(fakes.map(fake => fake.listen()));
  ranks = addresses.map((address, i) => ({
    address,
    availabilityZone: i % 2 === 0 ? 'a' : 'b',
  }));
  lost = new Set();
  relayed = [];
});
afterEach(() => {
  for (const fake of fakes) fake.close();
});

function callerWith(nodes: readonly string[]): RankCaller {
  const known = new Set(ranks.map(({address}) => address));
  return new RankCaller({
    relays: () =>
      nodes.map((address, i) => ({
        address,
        availabilityZone: i % 2 === 0 ? 'a' : 'b',
      })),
    callNode: async (ip, _method, params) => {
      if (lost.has(ip)) throw new Error('no answer');
      relayed.push(ip);
      return relayToRanks(RELAY_PARAMS.parse(params), known);
    },
  });
}

async function callAll(caller: RankCaller) {
  const answers = new Map<Rank, number | undefined>();
  const summary = await caller.callAll(ranks, 'prepare', CALL, (rank, answer) =>
    answers.set(rank, answer?.status)
  );
  return {answers, summary};
}

describe('calls to the ranks of a large group', () => {
  it('should bring the same order to each rank once, through other nodes', async () => {
    const {answers, summary} = await callAll(
      callerWith(['n0', 'n1', 'n2', 'n3'])
    );
    expect([...answers.values()]).toEqual(ranks.map(() => 200));
    expect(fakes.map(({bodies}) => bodies)).toEqual(
      fakes.map(() => [CALL.body])
    );
    expect(relayed.sort()).toEqual(['n0', 'n1', 'n2', 'n3']);
    expect(summary).toMatchObject({sent: RANKS, answered: RANKS, relays: 4});
  });

  it('should call all ranks itself while no other node is known', async () => {
    const {answers, summary} = await callAll(callerWith([]));
    expect([...answers.values()]).toEqual(ranks.map(() => 200));
    expect(summary.relays).toBe(0);
  });

  // A node dies with a share of the orders. Nothing is known of its ranks, and
  // the retry must not go to it again, or the switch waits for its recovery.
  it('should tell the ranks of a lost relay as unanswered and use others next', async () => {
    const caller = callerWith(['n0', 'n1', 'n2', 'n3']);
    lost.add('n2');
    const first = await callAll(caller);
    const unanswered = ranks.filter(
      rank => first.answers.get(rank) === undefined
    );
    expect(unanswered).toHaveLength(RANKS / 4);
    expect(first.summary.answered).toBe(RANKS - unanswered.length);
    lost.clear();
    relayed = [];
    const second = await callAll(caller);
    expect([...second.answers.values()]).toEqual(ranks.map(() => 200));
    expect(relayed).not.toContain('n2');
  });

  // The internal port must not become a way to call any machine.
  it('should pass nothing on to addresses that are no known targets', async () => {
    const [one, other] = ranks;
    const params = {
      method: 'POST' as const,
      path: '/order',
      addresses: [one!.address, other!.address],
      limitMs: 1_000,
    };
    const {answers} = await relayToRanks(params, new Set([other!.address]));
    expect(answers[0]).toBeNull();
    expect(answers[1]?.status).toBe(200);
    expect(fakes[0]?.bodies).toEqual([]);
  });
});
