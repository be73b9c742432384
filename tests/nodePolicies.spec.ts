import {MeasuredPassDuration} from '../src/policy/measuredPassDuration';
import {coldRateLimit} from '../src/policy/coldRate';
import {RateWindow} from '../src/policy/rateWindow';
import type {TargetOption} from '../src/policy/permitTargetChoice';
import {chooseTargetByPermits} from '../src/policy/permitTargetChoice';
import {TargetHealth} from '../src/policy/targetHealth';
import {SlidingRetryBudget} from '../src/policy/slidingRetryBudget';

const NO_TIE = () => 0;

function option(change: Partial<TargetOption>): TargetOption {
  return {
    id: 'x',
    slots: 8,
    inFlight: 0,
    permits: 8,
    isInOwnZone: true,
    failureRate: 0,
    latencyMs: 20,
    hasToken: false,
    ...change,
  };
}

describe('sliding-window retry budget', () => {
  // Half of all responses are lost, so every request is retried at once. All nodes
  // together must stay within the limit in every span of the window.
  it('should keep retries of all nodes within ratio and slack', () => {
    const limits = {ratio: 0.2, slack: 96, windowMs: 10_000};
    const nodes = 7;
    const budgets = Array.from(
      {length: nodes},
      () => new SlidingRetryBudget(limits)
    );
    const sent: number[] = [];
    let requests = 0;
    for (let nowMs = 0; nowMs < 30_000; nowMs += 20)
      for (const budget of budgets) {
        budget.recordRequest(nowMs);
        if (nowMs >= 20_000) requests++;
        if (budget.tryRetry(nowMs, nodes)) sent.push(nowMs);
      }
    const last = sent.filter(atMs => atMs >= 20_000).length;
    expect(last).toBeGreaterThan(0);
    expect(last).toBeLessThanOrEqual(0.2 * requests + 96);
  });

  it('should not accumulate retries in quiet times', () => {
    const limits = {ratio: 0, slack: 10, windowMs: 1_000};
    const budget = new SlidingRetryBudget(limits);
    let taken = 0;
    for (let i = 0; i < 50; i++) if (budget.tryRetry(60_000, 1)) taken++;
    expect(taken).toBe(7);
  });
});

describe('rate limit of a cold target', () => {
  // A target may become cold at any moment, and nodes learn of it only later, so all
  // nodes together must stay within its limit at all times.
  it.each([1, 3, 7, 20, 39, 300, 1_000])(
    'should keep %i nodes together under the bound',
    nodes => {
      const capacity = 8;
      for (const bound of [44, 30]) {
        const rates = Array.from({length: nodes}, (_, i) =>
          coldRateLimit({
            bound,
            nodes,
            nodeId: `10.0.${i >> 8}.${i & 255}`,
            targetId: 't',
            permits:
              i < capacity ? Math.max(1, Math.floor(capacity / nodes)) : 0,
            capacity,
          })
        );
        const all = rates.reduce((sum, rate) => sum + rate, 0);
        expect(all).toBeGreaterThan(0);
        expect(all).toBeLessThanOrEqual(bound);
      }
    }
  );

  // A node with permits for all slots of a target must be able to refill them as
  // they become free.
  it('should let a node that holds all permits use half of the bound', () => {
    const all = {bound: 30, nodes: 39, nodeId: 'n', targetId: 't', capacity: 4};
    expect(coldRateLimit({...all, permits: 4})).toBeGreaterThanOrEqual(13);
  });

  it('should limit sends in every span of a second', () => {
    const window = new RateWindow();
    window.add(0);
    window.add(900);
    expect(window.allows(950, 2)).toBe(false);
    expect(window.allows(1_000, 2)).toBe(true);
    expect(window.allows(1_500, 2)).toBe(true);
  });
});

describe('memory of a rate window', () => {
  // Guards against a node that grows with each request it ever sent: a service without
  // a rate for cold targets never asks whether one more send is allowed.
  it('should not remember sends outside the window', () => {
    const window = new RateWindow();
    for (let atMs = 0; atMs < 60_000; atMs += 10) window.add(atMs);
    expect(window.size).toBeLessThanOrEqual(101);
  });
});

describe('choice of a target by permits', () => {
  it('should prefer the local zone until its target is fuller by a fifth', () => {
    const near = option({id: 'near', inFlight: 1});
    const far = option({id: 'far', isInOwnZone: false});
    expect(chooseTargetByPermits([near, far], NO_TIE)?.id).toBe('near');
    const fuller = option({id: 'near', inFlight: 3});
    expect(chooseTargetByPermits([fuller, far], NO_TIE)?.id).toBe('far');
  });

  // Slots without a permit are used by other nodes: the request would wait there for
  // the whole duration of another one.
  it('should stay within the permits of a target while others have unused ones', () => {
    const used = option({id: 'used', inFlight: 0, permits: 0});
    const free = option({
      id: 'free',
      inFlight: 2,
      permits: 3,
      isInOwnZone: false,
    });
    expect(chooseTargetByPermits([used, free], NO_TIE)?.id).toBe('free');
  });

  it('should choose the least utilized target when no permit is unused', () => {
    const busy = option({id: 'busy', inFlight: 3, permits: 3});
    const less = option({id: 'less', inFlight: 1, permits: 1});
    expect(chooseTargetByPermits([busy, less], NO_TIE)?.id).toBe('less');
  });

  // The target passes its health check, but fails some of its requests.
  it('should avoid a target that fails requests', () => {
    const grey = option({id: 'grey', failureRate: 0.5});
    const good = option({id: 'good', inFlight: 4});
    expect(chooseTargetByPermits([grey, good], NO_TIE)?.id).toBe('good');
  });

  it('should avoid a target that is several times slower', () => {
    const slow = option({id: 'slow', latencyMs: 160});
    const rest = ['a', 'b'].map(id => option({id, inFlight: 2}));
    expect(chooseTargetByPermits([slow, ...rest], NO_TIE)?.id).toBe('a');
  });
});

describe('passive health of a target', () => {
  it('should pause longer with each failure to connect', () => {
    const health = new TargetHealth();
    health.note({kind: 'unreachable'}, 0);
    expect(health.isPaused(249)).toBe(true);
    expect(health.isPaused(250)).toBe(false);
    health.note({kind: 'unreachable'}, 250);
    expect(health.isPaused(700)).toBe(true);
    health.note({kind: 'good', latencyMs: 5}, 800);
    health.note({kind: 'unreachable'}, 900);
    expect(health.isPaused(1_160)).toBe(false);
  });
});

describe('measured pass duration', () => {
  // A slow rank caused passes of 400 ms. Between two of them the measured duration
  // was 0, so that nothing limited the passes and all slots were filled.
  it('should stay known until the next pass is due, however long passes are', () => {
    const pace = new MeasuredPassDuration();
    pace.recordPause(430, 1_000);
    expect(pace.durationMs(1_400)).toBe(430);
    expect(pace.durationMs(1_700)).toBe(0);
  });

  it('should show a longer pass as soon as it has ended', () => {
    const pace = new MeasuredPassDuration();
    for (let t = 0; t < 1_000; t += 50) pace.recordPause(50, t);
    expect(pace.durationMs(960)).toBe(50);
    for (let i = 0; i < 6; i++) pace.recordPause(140, 1_100);
    expect(pace.durationMs(1_110)).toBe(140);
  });
});
