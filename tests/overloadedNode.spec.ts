import type {Caller} from './fixtures/overloadedNode';
import {runOverload} from './fixtures/overloadedNode';

const SLOTS = 60;
const CAPACITY_PER_S = SLOTS / 2;
const OVERLOAD = {fromMs: 3_000, toMs: 8_000};
const UNTIL_MS = 14_000;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

/** Callers for all slots, and as many again from 3 to 8 s. */
function doubleLoad(overrides: Partial<Caller> = {}): Caller[] {
  return Array.from({length: 2 * SLOTS}, (_, i) => {
    const isFirst = i < SLOTS;
    const part = (i % SLOTS) / SLOTS;
    return {
      fromMs: isFirst ? 2_000 * part : OVERLOAD.fromMs + 1_000 * part,
      toMs: isFirst ? UNTIL_MS : OVERLOAD.toMs,
      ...(i % 10 === 0 ? overrides : {}),
    };
  });
}

const runs = SEEDS.map(seed =>
  runOverload(doubleLoad(), SLOTS, UNTIL_MS, seed)
);
const inOverload = runs
  .flat()
  .filter(
    ({sentAtMs}) => sentAtMs >= OVERLOAD.fromMs && sentAtMs < OVERLOAD.toMs
  );

function countBetween(times: readonly number[], fromMs: number, toMs: number) {
  return times.filter(atMs => atMs >= fromMs && atMs < toMs).length;
}

describe('a node under twice its load for 5 s', () => {
  // Guards against callers who retry as told and are refused for good.
  it('should refuse fewer than 3 in 100 requests twice', () => {
    const twice = inOverload.filter(({toldAtMs}) => toldAtMs.length > 1);
    expect(inOverload.length).toBeGreaterThan(1_500);
    expect(twice.length / inOverload.length).toBeLessThan(0.03);
  });

  // Guards against slots that stay free while callers wait for their return.
  it('should use 9 in 10 of its capacity', () => {
    for (const records of runs) {
      const admitted = records.map(one => one.admittedAtMs ?? Infinity);
      const served = countBetween(admitted, OVERLOAD.fromMs, 10_000);
      expect(served).toBeGreaterThan(0.9 * 7 * CAPACITY_PER_S);
    }
  });

  // Guards against callers who all return at once when the overload ends. The mean of
  // the runs tells a wave from the variation of single seconds.
  it('should not be told to come back as a second wave', () => {
    for (let fromMs = 4_000; fromMs < 12_000; fromMs += 250) {
      const told = runs.map(records => {
        const times = records.flatMap(({toldAtMs}) => toldAtMs.slice(0, 1));
        return countBetween(times, fromMs, fromMs + 1_000);
      });
      const mean = told.reduce((sum, n) => sum + n, 0) / SEEDS.length;
      expect(mean).toBeLessThan(1.1 * CAPACITY_PER_S);
    }
  });

  // Guards against a gain for callers who hammer: all others would do the same.
  it('should not serve callers sooner who ignore Retry-After', () => {
    const hasty = {ignoresRetryAfterMs: 100};
    const records = SEEDS.flatMap(seed =>
      runOverload(doubleLoad(hasty), SLOTS, UNTIL_MS, seed)
    ).filter(one => one.toldAtMs.length > 0 && one.sentAtMs < OVERLOAD.toMs);
    const meanWaitMs = (isHasty: boolean) => {
      const waits = records
        .filter(
          ({caller}) => (caller.ignoresRetryAfterMs !== undefined) === isHasty
        )
        .map(
          ({sentAtMs, admittedAtMs}) => (admittedAtMs ?? Infinity) - sentAtMs
        )
        .filter(Number.isFinite);
      return waits.reduce((sum, ms) => sum + ms, 0) / waits.length;
    };
    expect(meanWaitMs(true)).toBeGreaterThan(0.95 * meanWaitMs(false));
  });
});
