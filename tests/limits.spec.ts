import {
  concurrencyLimit,
  freshConcurrency,
  latencyRatio,
  recordLatency,
  adjustConcurrency,
  type ConcurrencyState,
} from '../src/policy/concurrencyLimit';
import {SeededRandom} from '../bench/fuzz/schedule';
import {RetryBudget} from '../src/policy/retryBudget';
import {allowances, zoneWeight} from '../src/policy/zoneReturn';

describe('retry budget', () => {
  it('should allow exactly the percentage of requests as retries', () => {
    const budget = new RetryBudget({percent: 10, minPerSecond: 0}, 0);
    for (let i = 0; i < 200; i++) budget.recordRequest();
    const allowed = Array.from({length: 100}, () => budget.tryRetry(0));
    expect(allowed.filter(Boolean)).toHaveLength(20);
  });

  it('should bound the retries accumulated over a long calm period', () => {
    // After hours without a failure every target fails at once. Without a bound,
    // every request could be retried, which would double the load on the targets
    // just as they recover.
    const budget = new RetryBudget({percent: 10, minPerSecond: 0}, 0);
    for (let i = 0; i < 1_000_000; i++) budget.recordRequest();
    const allowed = Array.from({length: 1000}, () => budget.tryRetry(0));
    expect(allowed.filter(Boolean).length).toBeLessThanOrEqual(51);
  });

  it('should allow a quiet entry the minimum rate of retries', () => {
    const budget = new RetryBudget({percent: 10, minPerSecond: 1}, 0);
    budget.tryRetry(0);
    budget.tryRetry(0);
    expect(budget.tryRetry(0)).toBe(false);
    expect(budget.tryRetry(1000)).toBe(true);
    expect(budget.tryRetry(500)).toBe(false);
  });

  it('should allow the replacements after a lost zone, but bound them', () => {
    const budget = new RetryBudget({percent: 10, minPerSecond: 0}, 0);
    for (let i = 0; i < 200; i++) budget.recordRequest();
    const replaced = Array.from({length: 300}, () => budget.tryReplace(0));
    const allowed = replaced.filter(Boolean).length;
    expect(allowed).toBeGreaterThanOrEqual(66);
    expect(allowed).toBeLessThanOrEqual(120);
  });

  it('should cut accumulated retries when the rule shrinks the budget', () => {
    const budget = new RetryBudget({percent: 50, minPerSecond: 0}, 0);
    for (let i = 0; i < 1000; i++) budget.recordRequest();
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
    next = adjustConcurrency(next, BOUNDS, {latencyMs, outstanding});
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

  it('should restore the limit of a target that stays slow', () => {
    // The target became four times slower at any load. Its limit shrinks at first;
    // if it never recovered, capacity of the target would be wasted.
    const calm = observed(freshConcurrency(BOUNDS), 10, 300);
    const low = observed(calm, 40, 400);
    expect(concurrencyLimit(low, BOUNDS)).toBeLessThanOrEqual(12);
    const slow = observed(low, 40, 3000);
    expect(concurrencyLimit(slow, BOUNDS)).toBe(32);
  });

  it('should grow again once the latency has recovered', () => {
    const calm = observed(freshConcurrency(BOUNDS), 10, 300);
    const low = observed(calm, 40, 400);
    const back = observed(low, 10, 2000);
    expect(concurrencyLimit(back, BOUNDS)).toBe(32);
  });

  it('should not shrink the limit when responses differ in length', () => {
    // Responses take from a fifth to five times their estimate, because some stop
    // early and some run long. Compared to the fastest response so far, every
    // normal one would look slow, and the limit would fall to its minimum.
    const random = new SeededRandom(5);
    let state = freshConcurrency(BOUNDS);
    for (let i = 0; i < 5000; i++) {
      const latencyMs = 100 * Math.pow(5, 2 * random.next() - 1);
      state = adjustConcurrency(state, BOUNDS, {latencyMs, outstanding: 32});
    }
    expect(concurrencyLimit(state, BOUNDS)).toBe(32);
  });

  it('should not grow while it is not utilized', () => {
    const low = {...freshConcurrency(BOUNDS), limit: 8};
    const idle = adjustConcurrency({...low, samplesSinceChange: 100}, BOUNDS, {
      latencyMs: 10,
      outstanding: 1,
    });
    expect(concurrencyLimit(idle, BOUNDS)).toBe(8);
  });

  it('should record the latency of a ramping target without changing its limit', () => {
    let state = observed(freshConcurrency(BOUNDS), 10, 300);
    for (let i = 0; i < 2000; i++) state = recordLatency(state, 40);
    expect(concurrencyLimit(state, BOUNDS)).toBe(32);
    expect(latencyRatio(state)).toBeGreaterThan(3);
  });
});

describe('returning zone', () => {
  const zone = {availabilityZone: 'zone-b', returnedAtMs: 1000};

  it('should get little load at first and all of it in the end', () => {
    expect(zoneWeight(zone, 1000)).toBeLessThan(0.2);
    expect(zoneWeight(zone, 6000)).toBeLessThan(zoneWeight(zone, 9000));
    expect(zoneWeight(zone, 60_000)).toBe(1);
    expect(zoneWeight({...zone, returnedAtMs: undefined}, 0)).toBe(1);
  });
});

describe('load shedding', () => {
  const demand = (customer: string, share: number, priority: number) => ({
    customer,
    share,
    priority,
    demand: 60,
  });

  it('should shed nothing while the capacity suffices', () => {
    const result = allowances([demand('a', 1, 0), demand('b', 2, 0)], 200);
    expect(result.map(({shedRatio}) => shedRatio)).toEqual([0, 0]);
  });

  it('should shed demand beyond the share first', () => {
    const result = allowances([demand('a', 1, 0), demand('b', 3, 0)], 80);
    expect(result).toEqual([
      expect.objectContaining({customer: 'a', allowed: 20}),
      expect.objectContaining({customer: 'b', allowed: 60, shedRatio: 0}),
    ]);
  });

  it('should shed the lowest priority of a customer first, not of others', () => {
    // A large customer marks all its work as urgent. That may displace its own
    // other work, but not the share of a small customer.
    const result = allowances(
      [demand('a', 1, 9), demand('a', 1, 0), demand('b', 1, 0)],
      90
    );
    expect(result).toEqual([
      {customer: 'a', priority: 9, allowed: 45, shedRatio: 0.25},
      {customer: 'a', priority: 0, allowed: 0, shedRatio: 1},
      {customer: 'b', priority: 0, allowed: 45, shedRatio: 0.25},
    ]);
  });
});
