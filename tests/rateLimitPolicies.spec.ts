import {RateAllocator, TOKEN_LEASE_S} from '../src/policy/rateAllocator';
import {RateLease} from '../src/policy/rateLease';
import {SAFE_WINDOW_MS, safeShare} from '../src/policy/safeShare';
import {StatedLimit} from '../src/policy/statedLimit';
import {TurnQueue} from '../src/policy/turnQueue';

/** The users' rule: what may reach a target in any window of four seconds. */
const WINDOW_MS = 4_000;
const allowedAt = (limit: number) => 1.5 * limit * 4 + 5;
const LEASE_MS = TOKEN_LEASE_S * 1_000;
const WARM_UP_MS = 5_000;

const holder = (node: string, reportPeriodMs = 100) => ({
  node,
  waiting: 0,
  hasPermits: true,
  reportPeriodMs,
});
const waiter = (node: string, waiting = 1, reportPeriodMs = 100) => ({
  node,
  waiting,
  hasPermits: false,
  reportPeriodMs,
});

describe('rate allocator', () => {
  // Guards against the sum over many nodes: an even split with a minimum of one
  // request for each node exceeds a limit of 1 per second with 12 nodes.
  it.each([
    {nodes: 1, limit: 1, periodMs: 100},
    {nodes: 12, limit: 1, periodMs: 100},
    {nodes: 80, limit: 1, periodMs: 240},
    {nodes: 300, limit: 1, periodMs: 900},
    {nodes: 300, limit: 40, periodMs: 900},
    {nodes: 7, limit: 0, periodMs: 100},
  ])(
    'should grant $nodes nodes about $limit per second together, in any window',
    ({nodes, limit, periodMs}) => {
      const allocator = new RateAllocator(limit, 0);
      const granted: number[] = [];
      for (let atMs = 0; atMs < 60_000; atMs += periodMs / nodes) {
        const node = String(Math.round((atMs * nodes) / periodMs) % nodes);
        const count = allocator.grant(holder(node, periodMs), atMs);
        for (let i = 0; i < count; i++) granted.push(atMs);
      }
      granted.forEach(startMs => {
        // A node may hold a token for the lease before it sends a request.
        const endMs = startMs + WINDOW_MS + LEASE_MS;
        const used = granted.filter(atMs => atMs >= startMs && atMs <= endMs);
        expect(used.length).toBeLessThanOrEqual(allowedAt(limit));
      });
      expect(granted.length / 60).toBeGreaterThan(0.9 * limit);
    }
  );

  // Guards against a burst after a quiet while.
  it('should not save up tokens that nobody asked for', () => {
    const allocator = new RateAllocator(10, 0);
    expect(allocator.grant(waiter('a', 50), 60_000)).toBe(2);
  });

  it('should grant tokens to nodes in turn, with waiting requests first', () => {
    const allocator = new RateAllocator(1, 0);
    const count: Record<string, number> = {};
    for (let atMs = WARM_UP_MS; atMs < WARM_UP_MS + 12_000; atMs += 100)
      for (const node of ['a', 'b', 'c']) {
        const granted = allocator.grant(waiter(node), atMs);
        count[node] = (count[node] ?? 0) + granted;
        expect(allocator.grant(holder('d'), atMs)).toBe(0);
      }
    expect(count).toEqual({a: 4, b: 4, c: 4});
  });

  // With thousands of nodes, the next in turn may report seconds later.
  it('should not wait for a node that has not reported for a while', () => {
    const allocator = new RateAllocator(1, 0);
    allocator.grant(waiter('away'), 0);
    expect(allocator.grant(waiter('here'), WARM_UP_MS)).toBe(1);
    const rare = new RateAllocator(1, 0);
    rare.grant(waiter('next', 1, 9_000), 1_000);
    expect(rare.grant(waiter('here', 1, 9_000), WARM_UP_MS)).toBe(1);
  });

  // Guards against two leaders: the earlier one grants on until it steps down.
  it('should grant nothing at the beginning of a term', () => {
    const allocator = new RateAllocator(10, 0);
    expect(allocator.grant(waiter('a'), 700)).toBe(0);
    expect(allocator.grant(waiter('a'), 900)).toBe(1);
  });

  it('should take back unused tokens, but save none up', () => {
    const allocator = new RateAllocator(1, 0);
    expect(allocator.grant(waiter('a'), WARM_UP_MS)).toBe(1);
    expect(allocator.grant(waiter('a'), WARM_UP_MS)).toBe(0);
    allocator.refund(1, WARM_UP_MS);
    expect(allocator.grant(waiter('a'), WARM_UP_MS)).toBe(1);
    allocator.refund(9, WARM_UP_MS);
    expect(allocator.grant(waiter('a', 9), WARM_UP_MS)).toBe(1);
  });

  // Orders to a rank cannot wait for tokens, so requests have to.
  it('should grant less after calls without a token', () => {
    const allocator = new RateAllocator(1, 0);
    allocator.charge(4, WARM_UP_MS);
    expect(allocator.grant(waiter('a'), WARM_UP_MS + 3_800)).toBe(0);
    expect(allocator.grant(waiter('a'), WARM_UP_MS + 4_000)).toBe(1);
  });

  it('should grant less at once when the limit falls', () => {
    const allocator = new RateAllocator(30, 0);
    allocator.grant(holder('a'), 0);
    allocator.setLimit(1, WARM_UP_MS);
    expect(allocator.grant(waiter('a', 9), WARM_UP_MS)).toBe(1);
  });
});

describe('tokens of a node', () => {
  it('should allow one request for each token, until they expire', () => {
    const lease = new RateLease();
    expect(lease.allows(1, 0, 0)).toBe(false);
    lease.add(2, 1, 0);
    lease.spend(1, 10);
    expect(lease.allows(1, 0, 20)).toBe(true);
    lease.spend(1, 20);
    expect(lease.allows(1, 0, 30)).toBe(false);
    lease.add(1, 1, 100);
    expect(lease.allows(1, 0, 100 + LEASE_MS)).toBe(false);
    expect(lease.takeUnused(1, 100 + LEASE_MS)).toBe(1);
  });

  // Guards against a reply that a cut or a freeze held up: the leader has granted
  // the same part of the limit again meanwhile.
  it('should not prolong tokens of a reply that comes late', () => {
    const lease = new RateLease();
    const sentAtMs = 1_000;
    const receivedAtMs = 9_000;
    lease.add(1, 1, sentAtMs);
    expect(lease.allows(1, 0, receivedAtMs)).toBe(false);
  });

  it('should not prolong tokens by later ones', () => {
    const lease = new RateLease();
    lease.add(1, 1, 0);
    lease.add(1, 1, 500);
    lease.spend(1, 600);
    lease.spend(1, LEASE_MS);
    expect(lease.allows(1, 0, LEASE_MS)).toBe(false);
  });

  // Guards against tokens of a limit of 10 that are used under one of 1.
  it('should drop tokens when the limit falls', () => {
    const lease = new RateLease();
    lease.add(7, 10, 0);
    expect(lease.allows(1, 0, 100)).toBe(false);
    expect(lease.takeUnused(1, 100)).toBe(7);
  });

  it('should keep within the safe share without tokens', () => {
    const lease = new RateLease();
    for (let i = 0; i < 2; i++) {
      expect(lease.allows(1, 2, i)).toBe(true);
      lease.spend(1, i);
    }
    expect(lease.allows(1, 2, SAFE_WINDOW_MS)).toBe(false);
    expect(lease.allows(1, 2, 2 * SAFE_WINDOW_MS)).toBe(true);
  });
});

describe('safe share of nodes without a leader', () => {
  // Guards against all nodes that lost the leader at once, each with a share of its
  // own, while tokens are still in use.
  it.each([1, 3, 12, 300])(
    'should be the limit and 2 in each window for %i nodes together',
    nodes => {
      const nodeIds = Array.from({length: nodes}, (_, i) => `10.0.0.${i}`);
      for (const limit of [0, 0.5, 1, 10]) {
        const shares = nodeIds.map(nodeId =>
          safeShare({limit, targetId: 't', nodeId, nodeIds})
        );
        const total = shares.reduce((sum, share) => sum + share, 0);
        expect(total).toBe(Math.floor(limit + 2));
        const leased = limit * (4 + TOKEN_LEASE_S) + 0.1 * limit + 1;
        if (limit > 0)
          expect(total + leased).toBeLessThanOrEqual(allowedAt(limit));
      }
    }
  );

  it('should go to different nodes for different targets', () => {
    const nodeIds = Array.from({length: 50}, (_, i) => `n${i}`);
    const served = new Set(
      Array.from({length: 40}, (_, i) => `t${i}`).flatMap(targetId =>
        nodeIds.filter(
          nodeId => safeShare({limit: 0, targetId, nodeId, nodeIds}) > 0
        )
      )
    );
    expect(served.size).toBeGreaterThan(30);
  });
});

describe('evidence of a stated limit', () => {
  const stated = (perSecond: number, fromMs: number, toMs: number) => ({
    perSecond,
    notBeforeMs: fromMs,
    notAfterMs: toMs,
  });

  it('should lower the limit at once', () => {
    const limit = new StatedLimit();
    expect(limit.add(stated(10, 0, 100))).toBe(true);
    expect(limit.add(stated(1, 0, 50))).toBe(true);
    expect(limit.perSecond).toBe(1);
  });

  // Guards against a limit that ends by a response which the target generated before
  // it stated the limit, and which was overtaken.
  it('should end the limit only by a request that was sent later', () => {
    const limit = new StatedLimit();
    limit.add(stated(1, 100, 200));
    expect(limit.add(stated(Infinity, 150, 900))).toBe(false);
    expect(limit.add(stated(Infinity, 201, 300))).toBe(true);
    expect(limit.perSecond).toBe(Infinity);
  });

  // Guards against a report of the limit that was held up past its end.
  it('should ignore a lower limit that is certainly older', () => {
    const limit = new StatedLimit();
    limit.add(stated(1, 100, 200));
    limit.add(stated(Infinity, 300, 400));
    expect(limit.add(stated(1, 150, 250))).toBe(false);
    expect(limit.add(stated(1, 150, 350))).toBe(true);
  });

  it('should remember the latest response with the same limit', () => {
    const limit = new StatedLimit();
    limit.add(stated(1, 100, 200));
    expect(limit.add(stated(1, 500, 600))).toBe(false);
    expect(limit.add(stated(Infinity, 550, 700))).toBe(false);
  });
});

describe('turns of nodes', () => {
  it('should keep the place of a node that reports again', () => {
    const queue = new TurnQueue();
    queue.enter('a', 0);
    queue.enter('b', 10);
    queue.enter('a', 20);
    expect(queue.isTurnOf('a', 1, 100)).toBe(true);
    expect(queue.isTurnOf('b', 1, 100)).toBe(false);
    expect(queue.isTurnOf('b', 2, 100)).toBe(true);
    queue.leave('a');
    expect(queue.isTurnOf('b', 1, 100)).toBe(true);
    expect(queue.isTurnOf('b', 0, 100)).toBe(false);
    expect(queue.isTurnOf('c', 9, 100)).toBe(false);
  });
});
