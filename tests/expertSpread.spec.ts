import {planSpread, spreadSkew} from '../src/policy/expertSpread';

const RANKS = 12;
const EXPERTS = 72;
const LIMITS = {
  places: 8,
  maxNewByRank: Array.from({length: RANKS}, () => 1),
  minGainPerCopy: 0.01,
  maxCopies: 12,
};

/** Skewed demand as in production: one expert gets a quarter of it. */
function demand(order: (rank: number) => number): number[] {
  const counts = Array.from({length: EXPERTS}, () => 0);
  for (let i = 0; i < EXPERTS; i++) counts[order(i)] = 1_000 / (i + 1) ** 1.1;
  return counts;
}

function roundRobin(): number[][] {
  return Array.from({length: RANKS}, (_, rank) =>
    Array.from({length: EXPERTS}, (_, expert) => expert).filter(
      expert => expert % RANKS === rank
    )
  );
}

describe('spread of experts', () => {
  // After a shift one expert, held by one rank, gets a quarter of the load, and
  // every pass waits for that rank.
  it('should halve the highest load with one copy per rank', () => {
    const lists = roundRobin();
    const popularity = demand(i => (i * 31) % EXPERTS);
    const plan = planSpread(lists, popularity, LIMITS);
    expect(plan.skewBefore).toBeGreaterThan(3);
    expect(plan.skewAfter).toBeLessThan(1.4);
    expect(spreadSkew(plan.lists, popularity)).toBeCloseTo(plan.skewAfter);
  });

  // One rank becomes slow and delays every pass, so all streams get late events
  // even at low load. Its experts move to other ranks over several switches.
  it('should move the experts off a slow rank', () => {
    const popularity = demand(i => (i * 31) % EXPERTS);
    const slowness = roundRobin().map((_, rank) => (rank === 4 ? 5 : 1));
    const maxNewByRank = slowness.map(() => 3);
    const limits = {...LIMITS, maxNewByRank, maxCopies: 24, slowness};
    let lists: readonly (readonly number[])[] = roundRobin();
    const before = spreadSkew(lists, popularity, slowness);
    for (let switches = 0; switches < 3; switches++)
      lists = planSpread(lists, popularity, limits).lists;
    expect(before).toBeGreaterThan(4);
    expect(spreadSkew(lists, popularity, slowness)).toBeLessThan(1.6);
    expect(lists.flat().length).toBeGreaterThanOrEqual(EXPERTS);
    expect(new Set(lists.flat()).size).toBe(EXPERTS);
  });

  it('should keep every expert on some rank, within the slots of each rank', () => {
    const lists = roundRobin();
    const plan = planSpread(
      lists,
      demand(i => (i * 29) % EXPERTS),
      LIMITS
    );
    expect(new Set(plan.lists.flat()).size).toBe(EXPERTS);
    for (const [rank, list] of plan.lists.entries()) {
      expect(new Set(list).size).toBe(list.length);
      expect(list.length).toBeLessThanOrEqual(LIMITS.places);
      const held = lists[rank] ?? [];
      const added = list.filter(expert => !held.includes(expert));
      expect(added.length).toBeLessThanOrEqual(1);
    }
  });

  it('should change nothing while all experts have equal demand', () => {
    const popularity = Array.from({length: EXPERTS}, () => 5);
    const plan = planSpread(roundRobin(), popularity, LIMITS);
    expect(plan.copies).toBe(0);
  });

  // Planning runs on the event loop of the leader, and a large group must not
  // delay requests there. The bound is a number of copies, not a duration.
  it('should stop at the maximum number of copies', () => {
    const popularity = demand(i => (i * 31) % EXPERTS);
    const few = {...LIMITS, maxCopies: 3};
    const plan = planSpread(roundRobin(), popularity, few);
    expect(plan.copies).toBeLessThanOrEqual(4);
    expect(plan.skewAfter).toBeLessThan(plan.skewBefore);
  });
});
