import fc from 'fast-check';
import type {ExpertMap} from '../src/core/mapMessages';
import {
  evenShape,
  loadsNeeded,
  mapSkew,
  rankLoads,
  withEvenShares,
} from '../src/policy/placement';
import {skewLowerBound} from '../src/policy/placementBound';
import {
  placeFromScratch,
  relabelToFewestLoads,
} from '../src/policy/placementGreedy';
import {withBestShares} from '../src/policy/placementSplit';
import {planRebalance, withChanges} from '../src/policy/rebalance';
import {
  decideLoads,
  decideSplit,
  REBALANCE_DEFAULTS,
} from '../src/policy/rebalanceDecision';
import {RebalancePlanner} from '../src/policy/rebalancePlanner';

const RANKS = 8;
const EXPERTS = 32;
const SPARE = 6;
const SHAPE = evenShape(RANKS, EXPERTS, SPARE);
const POPULARITY = fc.array(fc.double({min: 0.01, max: 10, noNaN: true}), {
  minLength: EXPERTS,
  maxLength: EXPERTS,
});
const ZIPF = Array.from({length: EXPERTS}, (_, i) => 1 / (i + 1));
const OTHER_ZIPF = [...ZIPF].reverse();
const LIMITS = {
  maxLoads: 4,
  maxCompoundLoads: 4,
  maxLoadsPerRank: 2,
  minGainPerLoad: 0.0005,
};

/** What every map must be: full, complete, no expert twice, shares of 1. */
function faultsOf(map: ExpertMap): string[] {
  const faults: string[] = [];
  const shares = new Array<number>(EXPERTS).fill(0);
  map.slots.forEach((slots, rank) => {
    if (slots.length !== SHAPE.slotsByRank[rank]) faults.push(`size ${rank}`);
    if (new Set(slots).size !== slots.length) faults.push(`twice ${rank}`);
    slots.forEach((expert, slot) => {
      shares[expert] = (shares[expert] ?? 0) + (map.shares[rank]?.[slot] ?? 0);
    });
  });
  shares.forEach((share, expert) => {
    if (Math.abs(share - 1) > 1e-6) faults.push(`share ${expert}: ${share}`);
  });
  return faults;
}

describe('expert placement', () => {
  it('should spread slots evenly', () => {
    const {slotsByRank} = evenShape(64, 256, 32);
    expect(slotsByRank.reduce((a, b) => a + b)).toBe(288);
    expect(new Set(slotsByRank)).toEqual(new Set([4, 5]));
  });

  it('should always give a whole map, and never beat the lower bound', () => {
    fc.assert(
      fc.property(POPULARITY, POPULARITY, (before, now) => {
        const first = placeFromScratch(SHAPE, before);
        const packed = placeFromScratch(SHAPE, now);
        const changes = planRebalance(first, now, LIMITS).moves.flat();
        const maps = [
          first,
          relabelToFewestLoads(first, packed),
          withBestShares(first, now),
          withChanges(first, changes, now),
        ];
        maps.forEach(map => expect(faultsOf(map)).toEqual([]));
        const bound = skewLowerBound(SHAPE, now);
        maps.forEach(map =>
          expect(mapSkew(map, now)).toBeGreaterThanOrEqual(bound - 1e-6)
        );
      }),
      {numRuns: 60, seed: 7}
    );
  });

  it('should never split worse than evenly, nor plan worse than it stands', () => {
    fc.assert(
      fc.property(POPULARITY, POPULARITY, (before, now) => {
        const even = placeFromScratch(SHAPE, before);
        const split = mapSkew(withBestShares(even, now), now);
        expect(split).toBeLessThanOrEqual(mapSkew(even, now) + 1e-6);
        const plan = planRebalance(even, now, LIMITS);
        expect(plan.skewAfter).toBeLessThanOrEqual(plan.skewSplit + 1e-6);
        const changes = plan.moves.flat();
        const loads = loadsNeeded(even, withChanges(even, changes, now));
        expect(Math.max(...loads)).toBeLessThanOrEqual(LIMITS.maxLoadsPerRank);
        expect(changes.length).toBeLessThanOrEqual(LIMITS.maxLoads);
      }),
      {numRuns: 60, seed: 11}
    );
  });

  it('should plan for engines that split evenly', () => {
    const even = placeFromScratch(SHAPE, OTHER_ZIPF);
    const plan = planRebalance(even, ZIPF, LIMITS, 'even');
    const map = withChanges(even, plan.moves.flat(), ZIPF, 'even');
    expect(mapSkew(map, ZIPF)).toBeLessThan(mapSkew(even, ZIPF));
    const {shares} = withEvenShares(map.slots);
    map.shares.flat().forEach((share, index) => {
      expect(share).toBeCloseTo(shares.flat()[index] ?? 0);
    });
  });

  it('should level two ranks through the expert that they share', () => {
    const even = {
      slots: [
        [0, 1],
        [0, 2],
      ],
      shares: [
        [0.5, 1],
        [0.5, 1],
      ],
    };
    const popularity = [10, 6, 0];
    expect(rankLoads(even, popularity)).toEqual([11, 5]);
    const loads = rankLoads(withBestShares(even, popularity), popularity);
    loads.forEach(load => expect(load).toBeCloseTo(8));
  });

  it('should need no load for a mere renumbering of ranks', () => {
    const map = placeFromScratch(SHAPE, ZIPF);
    const size = (rank: number) => SHAPE.slotsByRank[rank];
    const order = map.slots.map((_, rank) => {
      const swapped = rank ^ 1;
      return size(swapped) === size(rank) ? swapped : rank;
    });
    const turned = {
      slots: order.map(rank => map.slots[rank] ?? []),
      shares: order.map(rank => map.shares[rank] ?? []),
    };
    const back = relabelToFewestLoads(map, turned);
    expect(loadsNeeded(map, back).every(loads => loads === 0)).toBe(true);
  });
});

describe('decision to rebalance', () => {
  const cfg = REBALANCE_DEFAULTS;
  const stale = withBestShares(placeFromScratch(SHAPE, OTHER_ZIPF), ZIPF);

  it('should load where popularity has moved', () => {
    expect(decideLoads(cfg, stale, ZIPF).length).toBeGreaterThan(0);
  });

  it.each([
    [
      'loads would slow the group more than they gain',
      {loadSlowdown: 0.9, expertBytes: 5e9},
    ],
    ['the gain is below the threshold', {minSlotsGain: 5}],
    ['the next change is expected at once', {slotsHorizonMs: 1}],
    ['the switch costs more than it gains', {switchPauseMs: 1e9}],
  ])('should load nothing when %s', (_, change) => {
    expect(decideLoads({...cfg, ...change}, stale, ZIPF)).toEqual([]);
  });

  it('should not switch for a gain of the split below the threshold', () => {
    const even = placeFromScratch(SHAPE, ZIPF);
    const gain =
      mapSkew(even, ZIPF) - mapSkew(withBestShares(even, ZIPF), ZIPF);
    expect(gain).toBeGreaterThan(0);
    const lax = {...cfg, splitHorizonMs: 1e9};
    const at = (minSplitGain: number) =>
      decideSplit({...lax, minSplitGain}, even, ZIPF);
    expect(at(gain * 1.01)).toBeUndefined();
    expect(at(gain * 0.99)).toBeDefined();
  });

  // Popularity stands still but for the chance in the counts. A planner that
  // followed that chance would move weights to and fro for ever.
  it('should come to rest when popularity does', () => {
    const planner = new RebalancePlanner(cfg, EXPERTS);
    let map = placeFromScratch(SHAPE, OTHER_ZIPF);
    let late = 0;
    let loads = 0;
    for (let tick = 0; tick < 400; tick++) {
      const nowMs = tick * 500;
      const counts = ZIPF.map((p, e) =>
        Math.round(p * 1e6 * (1 + 0.001 * Math.sin(tick * (e + 1))))
      );
      planner.observe({atMs: nowMs - 1000, counts});
      const {stage, switchTo} = planner.next(map, undefined, nowMs);
      stage?.forEach(change => planner.loaded(change));
      loads += stage?.length ?? 0;
      if (tick >= 200 && (stage || switchTo)) late++;
      map = switchTo ?? map;
    }
    expect(loads).toBeGreaterThan(0);
    expect(late).toBe(0);
  });

  // The weight store refuses or stalls halfway through a batch.
  it('should plan anew after a load that failed or never came', () => {
    const planner = new RebalancePlanner(cfg, EXPERTS);
    planner.observe({atMs: 0, counts: ZIPF.map(p => p * 1e6)});
    const first = planner.next(stale, undefined, 100).stage ?? [];
    expect(first.length).toBeGreaterThan(0);
    expect(planner.next(stale, undefined, 200).stage).toBeUndefined();
    first.forEach(change => planner.failed(change));
    expect(planner.next(stale, undefined, 300).stage).toBeDefined();
    expect(planner.next(stale, undefined, 400).stage).toBeUndefined();
    expect(planner.next(stale, undefined, 1e6).stage).toBeDefined();
  });

  // A burst ends while the loads that answer it are under way. The first of
  // them takes away a replica that is needed again; in force by itself it would
  // slow every step of the group until the next load has come.
  it('should not switch for the worse while other loads are on their way', () => {
    const planner = new RebalancePlanner(cfg, EXPERTS);
    const counts = (popularity: readonly number[]) =>
      popularity.map(p => p * 1e6);
    planner.observe({atMs: 0, counts: counts(ZIPF)});
    const batch = planner.next(stale, undefined, 100).stage ?? [];
    expect(batch.length).toBeGreaterThan(1);
    planner.observe({atMs: 10_000, counts: counts(OTHER_ZIPF)});
    const best = withBestShares(stale, OTHER_ZIPF);
    batch.slice(0, 1).forEach(change => planner.loaded(change));
    const alone = withChanges(best, batch.slice(0, 1), OTHER_ZIPF);
    expect(mapSkew(alone, OTHER_ZIPF)).toBeGreaterThan(
      mapSkew(best, OTHER_ZIPF)
    );
    expect(planner.next(best, undefined, 10_100).switchTo).toBeUndefined();
    batch.slice(1).forEach(change => planner.loaded(change));
    expect(planner.next(best, undefined, 10_200).switchTo).toBeDefined();
  });
});
