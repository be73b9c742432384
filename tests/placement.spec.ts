import fc from 'fast-check';
import type {ExpertMap} from '../src/core/mapMessages';
import {
  evenShape,
  weightLoadsByRank,
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
import {planRebalance, withChanges} from '../src/policy/rebalanceSearch';
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

/**
 * Violations of the rules for maps: all slots filled, no expert twice on a rank,
 * and the shares of each expert add up to 1.
 */
function violationsOf(map: ExpertMap): string[] {
  const violations: string[] = [];
  const shares = new Array<number>(EXPERTS).fill(0);
  map.slots.forEach((slots, rank) => {
    if (slots.length !== SHAPE.slotsByRank[rank])
      violations.push(`size ${rank}`);
    if (new Set(slots).size !== slots.length) violations.push(`twice ${rank}`);
    slots.forEach((expert, slot) => {
      shares[expert] = (shares[expert] ?? 0) + (map.shares[rank]?.[slot] ?? 0);
    });
  });
  shares.forEach((share, expert) => {
    if (Math.abs(share - 1) > 1e-6)
      violations.push(`share ${expert}: ${share}`);
  });
  return violations;
}

describe('expert placement', () => {
  it('should distribute slots evenly', () => {
    const {slotsByRank} = evenShape(64, 256, 32);
    expect(slotsByRank.reduce((a, b) => a + b)).toBe(288);
    expect(new Set(slotsByRank)).toEqual(new Set([4, 5]));
  });

  it('should always return a valid map and never beat the lower bound', () => {
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
        maps.forEach(map => expect(violationsOf(map)).toEqual([]));
        const bound = skewLowerBound(SHAPE, now);
        maps.forEach(map =>
          expect(mapSkew(map, now)).toBeGreaterThanOrEqual(bound - 1e-6)
        );
      }),
      {numRuns: 60, seed: 7}
    );
  });

  it('should never be worse than an even split or than the current map', () => {
    fc.assert(
      fc.property(POPULARITY, POPULARITY, (before, now) => {
        const even = placeFromScratch(SHAPE, before);
        const split = mapSkew(withBestShares(even, now), now);
        expect(split).toBeLessThanOrEqual(mapSkew(even, now) + 1e-6);
        const plan = planRebalance(even, now, LIMITS);
        expect(plan.skewAfter).toBeLessThanOrEqual(plan.skewBestSplit + 1e-6);
        const changes = plan.moves.flat();
        const loads = weightLoadsByRank(even, withChanges(even, changes, now));
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

  it('should level two ranks through an expert that both hold', () => {
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

  it('should need no weight loads if ranks are only renumbered', () => {
    const map = placeFromScratch(SHAPE, ZIPF);
    const size = (rank: number) => SHAPE.slotsByRank[rank];
    const order = map.slots.map((_, rank) => {
      const swapped = rank ^ 1;
      return size(swapped) === size(rank) ? swapped : rank;
    });
    const renumbered = {
      slots: order.map(rank => map.slots[rank] ?? []),
      shares: order.map(rank => map.shares[rank] ?? []),
    };
    const back = relabelToFewestLoads(map, renumbered);
    expect(weightLoadsByRank(map, back).every(loads => loads === 0)).toBe(true);
  });
});

describe('decision to rebalance', () => {
  const cfg = REBALANCE_DEFAULTS;
  const stale = withBestShares(placeFromScratch(SHAPE, OTHER_ZIPF), ZIPF);

  it('should load weights after popularity has changed', () => {
    expect(decideLoads(cfg, stale, ZIPF).length).toBeGreaterThan(0);
  });

  it.each([
    [
      'loads slow the group down more than they gain',
      {loadSlowdown: 0.9, expertBytes: 5e9},
    ],
    ['the gain is below the threshold', {minSlotsGain: 5}],
    ['the next change is expected immediately', {slotsHorizonMs: 1}],
    ['the switch costs more than it gains', {switchPauseMs: 1e9}],
  ])('should load nothing when %s', (_, change) => {
    expect(decideLoads({...cfg, ...change}, stale, ZIPF)).toEqual([]);
  });

  it('should not switch if the gain of a new split is below the threshold', () => {
    const even = placeFromScratch(SHAPE, ZIPF);
    const gain =
      mapSkew(even, ZIPF) - mapSkew(withBestShares(even, ZIPF), ZIPF);
    expect(gain).toBeGreaterThan(0);
    const longHorizon = {...cfg, splitHorizonMs: 1e9};
    const decideAt = (minSplitGain: number) =>
      decideSplit({...longHorizon, minSplitGain}, even, ZIPF);
    expect(decideAt(gain * 1.01)).toBeUndefined();
    expect(decideAt(gain * 0.99)).toBeDefined();
  });

  // Popularity is constant except for noise in the counts. A planner that follows
  // the noise would move weights back and forth forever.
  it('should stop changing the map once popularity is stable', () => {
    const planner = new RebalancePlanner(cfg, EXPERTS);
    let map = placeFromScratch(SHAPE, OTHER_ZIPF);
    let lateActions = 0;
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
      if (tick >= 200 && (stage || switchTo)) lateActions++;
      map = switchTo ?? map;
    }
    expect(loads).toBeGreaterThan(0);
    expect(lateActions).toBe(0);
  });

  // The weight store fails or stalls during a batch.
  it('should plan again after a load that failed or never completed', () => {
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

  // A burst ends while the loads planned for it are in progress. The first one
  // removes a replica that is needed again. Applied alone, it would slow down
  // every pass of the group until the next load completes.
  it('should not switch to a worse map while other loads are in progress', () => {
    const planner = new RebalancePlanner(cfg, EXPERTS);
    const counts = (popularity: readonly number[]) =>
      popularity.map(p => p * 1e6);
    planner.observe({atMs: 0, counts: counts(ZIPF)});
    const batch = planner.next(stale, undefined, 100).stage ?? [];
    expect(batch.length).toBeGreaterThan(1);
    planner.observe({atMs: 10_000, counts: counts(OTHER_ZIPF)});
    const best = withBestShares(stale, OTHER_ZIPF);
    batch.slice(0, 1).forEach(change => planner.loaded(change));
    const afterFirst = withChanges(best, batch.slice(0, 1), OTHER_ZIPF);
    expect(mapSkew(afterFirst, OTHER_ZIPF)).toBeGreaterThan(
      mapSkew(best, OTHER_ZIPF)
    );
    expect(planner.next(best, undefined, 10_100).switchTo).toBeUndefined();
    batch.slice(1).forEach(change => planner.loaded(change));
    expect(planner.next(best, undefined, 10_200).switchTo).toBeDefined();
  });
});
