import {batchOrders, AnswerTally} from '../src/ranks/orderBatches';
import {planRelays} from '../src/policy/relayPlan';
import {RetransmitTimeout} from '../src/policy/retransmitTimeout';

const ZONES = ['a', 'b', 'c', 'd', 'e'];
const zoneOf = (i: number) => ZONES[i % ZONES.length] ?? 'a';

function ranks(count: number) {
  return Array.from({length: count}, (_, i) => ({
    address: `10.9.0.${i}:80`,
    availabilityZone: zoneOf(i),
  }));
}

function relays(count: number) {
  return Array.from({length: count}, (_, i) => ({
    address: `10.0.0.${i}`,
    availabilityZone: zoneOf(i),
  }));
}

/** Time to send a map to all ranks, when each link sends one copy at a time. */
function fanOutMs(rankCount: number, nodeCount: number): number {
  const mapBytes = rankCount * 200;
  const packedBytes = mapBytes * 0.4;
  const shares = planRelays(ranks(rankCount), relays(nodeCount));
  const relayed = shares.filter(({relay}) => relay !== undefined);
  const direct = shares.filter(({relay}) => relay === undefined);
  const directBytes =
    direct.flatMap(({ranks: ofShare}) => ofShare).length * mapBytes;
  const leaderMs = (directBytes + relayed.length * packedBytes) / 12_500;
  const maxShare = Math.max(0, ...relayed.map(({ranks: r}) => r.length));
  const relayMs = (maxShare * mapBytes) / 3_500;
  const rankMs = mapBytes / 525;
  return leaderMs + Math.max(relayMs, rankMs);
}

describe('fan-out to the ranks of a group', () => {
  // If one node sends a map of 25 kB to each of 129 ranks, its link alone needs
  // a quarter of a second, calls time out, and the retries add to the load.
  it('should not take longer per byte of the map for more ranks', () => {
    const perRank = (count: number, nodes: number) =>
      fanOutMs(count, nodes) / (count * 200);
    const small = perRank(12, 7);
    for (const [count, nodes] of [
      [63, 20],
      [129, 39],
      [256, 80],
      [512, 160],
    ] as const)
      expect(perRank(count, nodes)).toBeLessThan(2 * small);
  });

  it('should reach each rank once, through a node of its zone', () => {
    const shares = planRelays(ranks(129), relays(39));
    const reached = shares.flatMap(({ranks: ofShare}) => ofShare);
    expect(new Set(reached.map(({address}) => address)).size).toBe(129);
    expect(reached).toHaveLength(129);
    for (const {relay, ranks: ofShare} of shares) {
      const zone = relays(39).find(({address}) => address === relay);
      for (const rank of ofShare)
        expect(rank.availabilityZone).toBe(zone?.availabilityZone);
    }
  });

  it('should call a small group, or one without relays, directly', () => {
    expect(planRelays(ranks(12), relays(7))).toEqual([{ranks: ranks(12)}]);
    expect(planRelays(ranks(129), [])).toEqual([{ranks: ranks(129)}]);
  });

  // When all nodes of a zone are lost, its ranks must still get their orders.
  it('should reach ranks of a zone without nodes through other zones', () => {
    const near = relays(39).filter(one => one.availabilityZone !== 'c');
    const shares = planRelays(ranks(129), near);
    expect(shares.flatMap(({ranks: ofShare}) => ofShare)).toHaveLength(129);
    const most = Math.max(...shares.map(({ranks: ofShare}) => ofShare.length));
    expect(most).toBeLessThanOrEqual(9);
  });

  it('should encode and log equal orders once', () => {
    const lists = [[[0], [1]]];
    const batches = batchOrders([
      {rank: 0, order: {kind: 'prepare', version: 2, lists}},
      {rank: 1, order: {kind: 'prepare', version: 2, lists}},
      {rank: 0, order: {kind: 'hold', pass: 7}},
    ]);
    expect(batches.map(batch => batch.ranks)).toEqual([[0, 1], [0]]);
    const tally = new AnswerTally();
    tally.note('done', '');
    tally.note('refused', 'armed');
    expect(tally.fields).toEqual({done: 1, refused: 1, reason: 'armed'});
  });
});

describe('timeout of calls to ranks', () => {
  const bounds = {minMs: 60, maxMs: 1_000, initialMs: 60};

  // Responses of a busy machine take longer than the timeout. Each call is then
  // sent twice, which increases the load of the machine further.
  it('should follow the measured response time', () => {
    const timeout = new RetransmitTimeout(bounds);
    for (let i = 0; i < 20; i++) timeout.noteAnswer(150);
    expect(timeout.ms).toBeGreaterThan(150);
    for (let i = 0; i < 60; i++) timeout.noteAnswer(5);
    expect(timeout.ms).toBe(60);
  });

  it('should double while most calls have no response', () => {
    const timeout = new RetransmitTimeout(bounds);
    timeout.noteTimeouts(100, 129);
    expect(timeout.ms).toBe(120);
    timeout.noteTimeouts(129, 129);
    expect(timeout.ms).toBe(240);
  });

  // One rank of many is lost. The responses of the others show how long calls
  // take, and a longer timeout for the lost one would hold up the whole group.
  it('should not grow when one rank of many has no response', () => {
    const timeout = new RetransmitTimeout(bounds);
    for (let i = 0; i < 20; i++) timeout.noteAnswer(10);
    timeout.noteTimeouts(1, 129);
    expect(timeout.ms).toBe(60);
  });
});
