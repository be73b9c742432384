import {
  concurrencyLimit,
  freshConcurrency,
  latencyRise,
  learnLatency,
  observeLatency,
  type ConcurrencyState,
} from '../src/policy/concurrencyLimit';
import {SeededRandom} from '../bench/fuzz/schedule';
import {RetryBudget} from '../src/policy/retryBudget';
import {allowances, zoneWeight} from '../src/policy/zoneReturn';

describe('retry budget', () => {
  it('should allow the percentage of requests as retries, and no more', () => {
    const budget = new RetryBudget({percent: 10, minPerSecond: 0}, 0);
    for (let i = 0; i < 200; i++) budget.request();
    const allowed = Array.from({length: 100}, () => budget.tryRetry(0));
    expect(allowed.filter(Boolean)).toHaveLength(20);
  });

  it('should bound what a long calm can save up for an outage', () => {
    // After hours without a failure every target fails at once. Unbounded
    // savings would let each request be retried, and double the load on the
    // targets just as they come back.
    const budget = new RetryBudget({percent: 10, minPerSecond: 0}, 0);
    for (let i = 0; i < 1_000_000; i++) budget.request();
    const allowed = Array.from({length: 1000}, () => budget.tryRetry(0));
    expect(allowed.filter(Boolean).length).toBeLessThanOrEqual(51);
  });

  it('should let a quiet entry retry at the floor', () => {
    const budget = new RetryBudget({percent: 10, minPerSecond: 1}, 0);
    budget.tryRetry(0);
    budget.tryRetry(0);
    expect(budget.tryRetry(0)).toBe(false);
    expect(budget.tryRetry(1000)).toBe(true);
    expect(budget.tryRetry(500)).toBe(false);
  });

  it('should cover the replacements of a lost zone, yet bound them', () => {
    const budget = new RetryBudget({percent: 10, minPerSecond: 0}, 0);
    for (let i = 0; i < 200; i++) budget.request();
    const replaced = Array.from({length: 300}, () => budget.tryReplace(0));
    const allowed = replaced.filter(Boolean).length;
    expect(allowed).toBeGreaterThanOrEqual(66);
    expect(allowed).toBeLessThanOrEqual(120);
  });

  it('should cut savings when the rule shrinks the budget', () => {
    const budget = new RetryBudget({percent: 50, minPerSecond: 0}, 0);
    for (let i = 0; i < 1000; i++) budget.request();
    budget.configure({percent: 0, minPerSecond: 0});
    expect(budget.tryRetry(0)).toBe(false);
  });
});

const BOUNDS = {start: 4, full: 32};

function observed(
  state: ConcurrencyState,
  latencyMs: number,
  times: number
): ConcurrencyState {
  let next = state;
  for (let i = 0; i < times; i++) {
    const outstanding = concurrencyLimit(next, BOUNDS);
    next = observeLatency(next, BOUNDS, {latencyMs, outstanding});
  }
  return next;
}

describe('concurrency limit', () => {
  it('should shrink while the latency rises with the load', () => {
    const calm = observed(freshConcurrency(BOUNDS), 10, 300);
    expect(concurrencyLimit(calm, BOUNDS)).toBe(32);
    const busy = observed(calm, 40, 100);
    expect(concurrencyLimit(busy, BOUNDS)).toBeLessThan(32);
    const worse = observed(busy, 40, 300);
    expect(concurrencyLimit(worse, BOUNDS)).toBeLessThanOrEqual(12);
  });

  it('should give a target that is slow for good its limit back', () => {
    // The target got four times slower, with few requests as with many. Its
    // limit shrinks at first; kept down for ever it would waste the target.
    const calm = observed(freshConcurrency(BOUNDS), 10, 300);
    const low = observed(calm, 40, 400);
    expect(concurrencyLimit(low, BOUNDS)).toBeLessThanOrEqual(12);
    const slow = observed(low, 40, 3000);
    expect(concurrencyLimit(slow, BOUNDS)).toBe(32);
  });

  it('should grow again once the latency is back', () => {
    const calm = observed(freshConcurrency(BOUNDS), 10, 300);
    const low = observed(calm, 40, 400);
    const back = observed(low, 10, 2000);
    expect(concurrencyLimit(back, BOUNDS)).toBe(32);
  });

  it('should not shut a target whose answers differ in length', () => {
    // Answers take from a fifth to five times their estimate, as answers do
    // that stop early or run long. Judged by the quickest one ever seen, each
    // usual answer looks slow, and the limit falls to the start at any load.
    const random = new SeededRandom(5);
    let state = freshConcurrency(BOUNDS);
    for (let i = 0; i < 5000; i++) {
      const latencyMs = 100 * Math.pow(5, 2 * random.next() - 1);
      state = observeLatency(state, BOUNDS, {latencyMs, outstanding: 32});
    }
    expect(concurrencyLimit(state, BOUNDS)).toBe(32);
  });

  it('should not grow while it is not used', () => {
    const low = {...freshConcurrency(BOUNDS), limit: 8};
    const idle = observeLatency({...low, samples: 100}, BOUNDS, {
      latencyMs: 10,
      outstanding: 1,
    });
    expect(concurrencyLimit(idle, BOUNDS)).toBe(8);
  });

  it('should learn the latency of a ramping target, and leave its limit', () => {
    let state = observed(freshConcurrency(BOUNDS), 10, 300);
    for (let i = 0; i < 2000; i++) state = learnLatency(state, 40);
    expect(concurrencyLimit(state, BOUNDS)).toBe(32);
    expect(latencyRise(state)).toBeGreaterThan(3);
  });
});

describe('returning zone', () => {
  const zone = {availabilityZone: 'zone-b', returnedAtMs: 1000};

  it('should get a small share at first and all of it in the end', () => {
    expect(zoneWeight(zone, 1000)).toBeLessThan(0.2);
    expect(zoneWeight(zone, 6000)).toBeLessThan(zoneWeight(zone, 9000));
    expect(zoneWeight(zone, 60_000)).toBe(1);
    expect(zoneWeight({...zone, returnedAtMs: undefined}, 0)).toBe(1);
  });
});

describe('shedding', () => {
  const demand = (customer: string, share: number, priority: number) => ({
    customer,
    share,
    priority,
    demand: 60,
  });

  it('should shed nothing while the capacity carries all', () => {
    const result = allowances([demand('a', 1, 0), demand('b', 2, 0)], 200);
    expect(result.map(({shedPart}) => shedPart)).toEqual([0, 0]);
  });

  it('should shed what is over a share first', () => {
    const result = allowances([demand('a', 1, 0), demand('b', 3, 0)], 80);
    expect(result).toEqual([
      expect.objectContaining({customer: 'a', allowed: 20}),
      expect.objectContaining({customer: 'b', allowed: 60, shedPart: 0}),
    ]);
  });

  it('should shed the lowest priority of a customer first, not of others', () => {
    // A large customer calls all its work urgent. That may displace its own
    // other work, and must not displace a small customer's share.
    const result = allowances(
      [demand('a', 1, 9), demand('a', 1, 0), demand('b', 1, 0)],
      90
    );
    expect(result).toEqual([
      {customer: 'a', priority: 9, allowed: 45, shedPart: 0.25},
      {customer: 'a', priority: 0, allowed: 0, shedPart: 1},
      {customer: 'b', priority: 0, allowed: 45, shedPart: 0.25},
    ]);
  });
});
