import {
  freshRamp,
  restartRamp,
  isRampComplete,
  rampLimit,
  rampRuleChanged,
  rampAfterResponse,
  type RampState,
} from '../src/policy/ramp';

const RULE = {start: 2, full: 32, overMs: 10_000};

/** Applies a good response every 100 ms with the whole limit in use. */
function loaded(state: RampState, fromMs: number, toMs: number): RampState {
  let next = state;
  for (let nowMs = fromMs + 100; nowMs <= toMs; nowMs += 100)
    next = rampAfterResponse(next, RULE, {
      nowMs,
      startedAtMs: nowMs - 100,
      outstanding: rampLimit(next, RULE, nowMs),
      slowdown: 1,
    });
  return next;
}

describe('cold-start ramp', () => {
  it('should take at least the time of the rule from start to full', () => {
    const fresh = freshRamp(0);
    expect(rampLimit(fresh, RULE, 0)).toBe(2);
    expect(isRampComplete(loaded(fresh, 0, 10_000), RULE)).toBe(false);
    expect(isRampComplete(loaded(fresh, 0, 12_000), RULE)).toBe(true);
  });

  it('should stay below a straight line on the way', () => {
    const half = loaded(freshRamp(0), 0, 5000);
    expect(rampLimit(half, RULE, 5000)).toBeLessThan((2 + 32) / 2);
  });

  it('should gain nothing from time without load', () => {
    // A fresh target is idle for a minute, then all requests arrive at once. If the
    // ramp counted the idle minute, the target would get its full load while cold
    // and fail.
    const idle = rampAfterResponse(freshRamp(0), RULE, {
      nowMs: 60_000,
      startedAtMs: 59_990,
      outstanding: 2,
      slowdown: 1,
    });
    expect(rampLimit(idle, RULE, 60_000)).toBe(2);
  });

  it('should credit the same span of time once for all requests in it', () => {
    let state = freshRamp(0);
    for (let i = 0; i < 50; i++)
      state = rampAfterResponse(state, RULE, {
        nowMs: 1000,
        startedAtMs: 0,
        outstanding: 2,
        slowdown: 1,
      });
    const once = loaded(freshRamp(0), 0, 1000);
    expect(rampLimit(state, RULE, 1000)).toBe(rampLimit(once, RULE, 1000));
  });

  it('should not grow while hardly utilized', () => {
    const half = loaded(freshRamp(0), 0, 5000);
    const idle = rampAfterResponse(half, RULE, {
      nowMs: 6000,
      startedAtMs: 5000,
      outstanding: 1,
      slowdown: 1,
    });
    expect(idle.level).toBe(half.level);
  });

  it('should hold at a raised latency and shrink at a higher one', () => {
    const half = loaded(freshRamp(0), 0, 5000);
    const sample = {nowMs: 5100, startedAtMs: 5000, outstanding: 9};
    const held = rampAfterResponse(half, RULE, {...sample, slowdown: 2.2});
    expect(held.level).toBe(half.level);
    const shrunk = rampAfterResponse(half, RULE, {...sample, slowdown: 3});
    expect(shrunk.level).toBeLessThan(half.level!);
    expect(shrunk.level).toBeGreaterThanOrEqual(RULE.start);
  });

  it('should fall to the start at any sign of cold', () => {
    // A warm target restarts unnoticed, and its load report still says warm. At the
    // first lost connection the limit must be that of a fresh target.
    const warm = loaded(freshRamp(0), 0, 12_000);
    const cold = restartRamp(warm, 12_000);
    expect(rampLimit(cold, RULE, 12_000)).toBe(2);
    const late = rampAfterResponse(cold, RULE, {
      nowMs: 12_000,
      startedAtMs: 2000,
      outstanding: 30,
      slowdown: 1,
    });
    expect(rampLimit(late, RULE, 12_000)).toBe(2);
  });

  it('should be slower after the target became cold during the ramp', () => {
    // An engine that warms slower than its rule says fails during the ramp. With the
    // same ramp it would fail each time and never serve its full load.
    const again = restartRamp(loaded(freshRamp(0), 0, 6000), 6000);
    expect(isRampComplete(loaded(again, 6000, 18_000), RULE)).toBe(false);
    expect(isRampComplete(loaded(again, 6000, 30_000), RULE)).toBe(true);
    const warm = restartRamp(loaded(freshRamp(0), 0, 12_000), 12_000);
    expect(isRampComplete(loaded(warm, 12_000, 24_000), RULE)).toBe(true);
  });

  it('should not jump when start is raised before the first response', () => {
    const fresh = rampRuleChanged(freshRamp(0), RULE, 100);
    const raised = {start: 24, full: 64, overMs: 10_000};
    expect(rampLimit(fresh, raised, 100)).toBe(2);
    expect(rampLimit(restartRamp(fresh, 200), raised, 200)).toBe(24);
  });

  it('should not jump when a rule raises start and full mid-ramp', () => {
    const half = loaded(freshRamp(0), 0, 5000);
    const before = rampLimit(half, RULE, 5000);
    const raised = {start: 24, full: 64, overMs: 10_000};
    expect(rampLimit(half, raised, 5000)).toBe(before);
    expect(rampLimit(half, {...RULE, full: 4}, 5000)).toBe(4);
  });
});
