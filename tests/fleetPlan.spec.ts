import {SeededRandom} from '../bench/fuzz/schedule';
import {FleetDemand, demandByModel} from '../src/policy/fleetDemand';
import {FLEET_DEFAULTS, planFleet} from '../src/policy/fleetPlan';
import type {FleetView} from '../src/policy/fleetPlan';
import type {FleetTarget} from '../src/policy/fleetTally';

const ZONES = ['a', 'b', 'c'];
const A = {model: 'a', version: 'v1', min: 2, max: 12};
const B = {model: 'b', version: 'v1', min: 2, max: 12};

function target(
  index: number,
  model: string,
  change: Partial<FleetTarget> = {}
): FleetTarget {
  return {
    targetId: `t${index}`,
    availabilityZone: ZONES[index % 3]!,
    model,
    modelVersion: 'v1',
    serving: true,
    temperature: 'warm',
    changed: false,
    work: 4,
    limit: 8,
    ...change,
  };
}

/** Six targets hold `a`, six hold `b`; zones alternate. */
const HALVES = Array.from({length: 12}, (_, i) => target(i, i < 6 ? 'a' : 'b'));

const WARMING = {
  ...HALVES[0]!,
  changed: true,
  temperature: 'warming',
} as const;

function plan(change: Partial<FleetView> = {}) {
  const view: FleetView = {
    models: [A, B],
    targets: HALVES,
    open: [],
    demand: new Map([
      ['a', 28],
      ['b', 28],
    ]),
    halted: new Set(),
    full: 8,
    loadMs: 60_000,
    warmupMs: 30_000,
    nowMs: 10_000_000,
    ...change,
  };
  return planFleet(view, FLEET_DEFAULTS);
}

const demand = (a: number, b: number) =>
  new Map([
    ['a', a],
    ['b', b],
  ]);

describe('orders for models', () => {
  it.each<[string, Partial<FleetView>, number]>([
    ['none while both models can serve their demand', {}, 0],
    [
      'one when one model is short and the other has spare targets',
      {demand: demand(46, 12)},
      1,
    ],
    [
      'none when the other model would become short',
      {demand: demand(46, 34)},
      0,
    ],
    [
      'none that costs more than it gains',
      {demand: demand(40, 12), loadMs: 1_500_000},
      0,
    ],
    [
      'none while another order is in progress',
      {
        demand: demand(46, 12),
        open: [{targetId: 't7', model: 'a', version: 'v1'}],
      },
      0,
    ],
    [
      'none for a target that changed its model a moment ago',
      {
        demand: demand(46, 12),
        targets: HALVES.map(one => ({...one, changedAtMs: 9_900_000})),
      },
      0,
    ],
    [
      'none for a version that failed to load too often',
      {demand: demand(46, 12), halted: new Set(['a'])},
      0,
    ],
    [
      'none beyond max',
      {demand: demand(46, 12), models: [{...A, max: 6}, B]},
      0,
    ],
    [
      'none that leaves the other model below min',
      {demand: demand(46, 0), models: [A, {...B, min: 6}]},
      0,
    ],
    [
      'one for a model below min, regardless of the cost',
      {demand: demand(0, 0), models: [{...A, min: 7}, B], loadMs: 9_000_000},
      1,
    ],
    [
      'none while a changed target has enough work but is not warm',
      {
        demand: demand(46, 12),
        targets: HALVES.map((one, i) => (i === 0 ? WARMING : one)),
      },
      0,
    ],
    [
      'one when a changed target has too little work to become warm',
      {
        demand: demand(46, 12),
        targets: HALVES.map((one, i) =>
          i === 0 ? {...WARMING, work: 1} : one
        ),
      },
      1,
    ],
    [
      'none while a changed target stays cold',
      {
        demand: demand(46, 12),
        targets: HALVES.map((one, i) =>
          i === 0 ? {...one, changed: true, temperature: 'cold' as const} : one
        ),
      },
      0,
    ],
  ])('should be %s', (_, change, count) => {
    expect(plan(change).changes).toHaveLength(count);
  });

  it('should spread a model over the zones', () => {
    const targets = HALVES.map(one =>
      one.model === 'a' && one.availabilityZone === 'c'
        ? {...one, model: 'b'}
        : one
    );
    const [change] = plan({targets, demand: demand(36, 12)}).changes;
    const zone = targets.find(one => one.targetId === change?.targetId);
    expect(zone?.availabilityZone).toBe('c');
  });

  // A version that fails to load, or stays cold after it, must not reach a second
  // target. Otherwise the model would be lost on one target after the other.
  it('should try a new version on one target and continue once it serves', () => {
    const models = [{...A, version: 'v2'}, B];
    const large = Array.from({length: 40}, (_, i) =>
      target(i, i < 30 ? 'a' : 'b')
    );
    const rollOut = (targets: readonly FleetTarget[], open = plan().changes) =>
      plan({models, targets, open, demand: demand(20, 20)}).changes;
    const [first, ...more] = rollOut(large);
    expect(first).toMatchObject({model: 'a', version: 'v2'});
    expect(more).toEqual([]);
    expect(rollOut(large, [first!])).toEqual([]);
    const changed = (temperature: 'cold' | 'warm') =>
      large.map(one =>
        one.targetId === first!.targetId
          ? {...one, modelVersion: 'v2', changed: true, temperature}
          : one
      );
    expect(rollOut(changed('cold'))).toEqual([]);
    expect(rollOut(changed('warm')).length).toBeGreaterThan(1);
  });

  // In any state of the targets, an order must not reduce the serving targets of
  // a model below its min.
  it('should never leave a model below its min, with many seeds', () => {
    for (let seed = 1; seed <= 300; seed++) {
      const random = new SeededRandom(seed);
      const temperature = () =>
        random.pick(['cold', 'warming', 'warm'] as const);
      const targets = Array.from({length: random.int(2, 40)}, (_, i) =>
        target(i, random.pick(['a', 'b', 'other']), {
          modelVersion: random.pick(['v1', 'v2']),
          serving: random.chance(0.8),
          temperature: temperature(),
          changed: random.chance(0.2),
        })
      );
      const open = targets
        .filter(() => random.chance(0.1))
        .map(({targetId}) => ({targetId, model: 'a', version: 'v1'}));
      const levels = demand(random.int(0, 200), random.int(0, 200));
      const {changes} = plan({targets, open, demand: levels});
      const ordered = new Set([...open, ...changes].map(one => one.targetId));
      for (const {model, min} of [A, B]) {
        const losesServing = changes.some(change =>
          targets.some(
            t =>
              t.targetId === change.targetId &&
              t.model === model &&
              t.serving &&
              t.temperature !== 'cold'
          )
        );
        const remaining = targets.filter(
          one =>
            one.model === model && one.serving && !ordered.has(one.targetId)
        ).length;
        if (losesServing)
          expect({seed, isAtLeastMin: remaining >= min}).toEqual({
            seed,
            isAtLeastMin: true,
          });
      }
    }
  });
});

describe('demand for models', () => {
  // Callers of one model pause and come back. Orders after each change would load
  // the same weights back and forth while callers of both models wait.
  it('should rise with load and fall slowly during a pause', () => {
    const levels = new FleetDemand();
    const busy = demandByModel([{model: 'a', outstanding: 8, queued: 500}], 8);
    levels.observe(busy, 0);
    expect(levels.smoothedByModel().get('a')).toBe(16);
    expect(levels.settled(4_000)).toBe(false);
    levels.observe(new Map(), 30_000);
    expect(levels.settled(30_000)).toBe(true);
    expect(levels.smoothedByModel().get('a')).toBeGreaterThan(14);
    levels.observe(new Map(), 1_500_000);
    expect(levels.smoothedByModel().get('a')).toBeLessThan(1);
    levels.observe(busy, 1_590_000);
    expect(levels.smoothedByModel().get('a')).toBeGreaterThan(15);
  });
});
