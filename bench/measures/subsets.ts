/**
 * `subsets`: how evenly targets are followed when each entry follows a few of
 * each pool, and how many places move when a target or an entry goes.
 */

import {chooseSubset, entrySeed, targetKey} from '../../src/policy/subset';
import {SeededRandom} from '../fuzz/schedule';
import type {Figures, Measure, MeasureOptions, MeasureResult} from '../measure';

const ZONES = 17;
const SUBSET = 64;
/** For an entry that follows many pools. */
const SMALL_SUBSET = 8;
/** Targets of the largest of nine pools, about. */
const FULL = {entries: 2_900, targets: 1_111, trials: 10};
const QUICK = {entries: 290, targets: 400, trials: 3};
/** Requests in work on a target at the mean, for the load with the balance. */
const REQUESTS = 30;
/** Targets that the balance compares for a request. */
const SAMPLE = 3;
const LOAD_MARK = 1.15;
const MOVED_MARK = 1.05;

interface Target {
  readonly targetId: string;
  readonly availabilityZone: string;
  readonly usable: boolean;
  readonly key: Uint8Array;
}

type Random = () => number;
/** The targets of one entry; `index` is its place among the entries now. */
type Way = (
  entryId: string,
  index: number,
  targets: readonly Target[],
  random: Random
) => readonly Target[];

function rendezvous(size: number): Way {
  return (entryId, _, targets) =>
    chooseSubset(entrySeed(`${entryId}/pool`), targets, size);
}

/** Drawn anew whenever the list changes. */
const drawn: Way = (_entryId, _index, targets, random) =>
  shuffled(targets, random).slice(0, SUBSET);

/** A stretch of the list that begins where the hash of the entry says. */
function hashMod(entryId: string, _: number, targets: readonly Target[]) {
  const start = entrySeed(entryId) % targets.length;
  return Array.from(
    {length: SUBSET},
    (_unused, i) => targets[(start + i) % targets.length]!
  );
}

/** Rounds of entries deal the shuffled list out among themselves. */
function dealt(_: string, index: number, targets: readonly Target[]) {
  const perRound = Math.floor(targets.length / SUBSET);
  const round = shuffled(targets, seeded(Math.floor(index / perRound)));
  const start = (index % perRound) * SUBSET;
  return round.slice(start, start + SUBSET);
}

const WAYS: Readonly<Record<string, Way>> = {
  ours: rendezvous(SUBSET),
  [`oursOf${SMALL_SUBSET}`]: rendezvous(SMALL_SUBSET),
  random: drawn,
  hashMod,
  dealt,
};

function seeded(seed: number): Random {
  const random = new SeededRandom(seed);
  return () => random.next();
}

function shuffled<T>(items: readonly T[], random: Random): readonly T[] {
  const copy = [...items];
  for (let i = copy.length - 1; i > 0; i--) {
    const j = Math.floor(random() * (i + 1));
    [copy[i], copy[j]] = [copy[j]!, copy[i]!];
  }
  return copy;
}

type Subsets = ReadonlyMap<string, readonly Target[]>;

class World {
  readonly targets: readonly Target[];
  readonly entryIds: readonly string[];
  private readonly random: Random;

  constructor(
    private readonly way: Way,
    size: typeof FULL,
    seed: number
  ) {
    this.random = seeded(seed);
    this.entryIds = Array.from({length: size.entries}, (_, i) => `entry-${i}`);
    this.targets = Array.from({length: size.targets}, (_, i) => {
      const targetId = `planner-${i}`;
      const availabilityZone = `zone-${i % ZONES}`;
      return {
        targetId,
        availabilityZone,
        usable: true,
        key: targetKey(targetId),
      };
    });
  }

  subsets(
    entryIds: readonly string[] = this.entryIds,
    targets: readonly Target[] = this.targets
  ): Subsets {
    return new Map(
      entryIds.map((entryId, index) => [
        entryId,
        this.way(entryId, index, targets, this.random),
      ])
    );
  }

  /** Load of every target when each entry spreads the same over its own. */
  equalLoad(subsets: Subsets): readonly number[] {
    const loads = new Map(this.targets.map(target => [target, 0]));
    for (const own of subsets.values())
      for (const target of own)
        loads.set(target, (loads.get(target) ?? 0) + 1 / own.length);
    return [...loads.values()];
  }

  /** The same when an entry takes the least loaded of a few of its own. */
  balancedLoad(subsets: Subsets): readonly number[] {
    const loads = new Map(this.targets.map(target => [target, 0]));
    const lists = [...subsets.values()];
    const requests = REQUESTS * this.targets.length;
    for (let i = 0; i < requests; i++) {
      const own = lists[i % lists.length] ?? [];
      const picks = Array.from(
        {length: SAMPLE},
        () => own[Math.floor(this.random() * own.length)]!
      );
      const least = picks.reduce((best, one) =>
        (loads.get(one) ?? 0) < (loads.get(best) ?? 0) ? one : best
      );
      loads.set(least, (loads.get(least) ?? 0) + 1);
    }
    return [...loads.values()];
  }

  pick<T>(items: readonly T[]): T {
    return items[Math.floor(this.random() * items.length)]!;
  }
}

/** Places of `after` that `before` did not have. */
function moved(before: Subsets, after: Subsets): number {
  let count = 0;
  for (const [entryId, own] of after) {
    const held = new Set(before.get(entryId));
    count += own.filter(target => !held.has(target)).length;
  }
  return count;
}

function spread(values: readonly number[]) {
  const mean = meanOf(values);
  const byMean = values.map(value => value / mean);
  return {most: Math.max(...byMean), least: Math.min(...byMean)};
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, one) => sum + one, 0) / values.length;
}

function figuresOf(way: Way, {quick, seed}: MeasureOptions): Figures {
  const size = quick ? QUICK : FULL;
  const world = new World(way, size, seed);
  const before = world.subsets();
  const equal = spread(world.equalLoad(before));
  const balanced = spread(world.balancedLoad(before));
  const byTarget = Array.from({length: size.trials}, () => {
    const gone = world.pick(world.targets);
    const left = world.targets.filter(target => target !== gone);
    const held = [...before.values()].filter(own => own.includes(gone)).length;
    return {held, moved: moved(before, world.subsets(world.entryIds, left))};
  });
  const byEntry = Array.from({length: size.trials}, () => {
    const gone = world.pick(world.entryIds);
    const left = world.entryIds.filter(entryId => entryId !== gone);
    return moved(before, world.subsets(left));
  });
  const zones = [...before.values()].map(
    own => new Set(own.map(target => target.availabilityZone)).size
  );
  return {
    equalLoadMostOverMean: equal.most,
    equalLoadLeastOverMean: equal.least,
    balancedLoadMostOverMean: balanced.most,
    balancedLoadLeastOverMean: balanced.least,
    placesMovedByTarget: meanOf(byTarget.map(one => one.moved)),
    placesOfThatTarget: meanOf(byTarget.map(one => one.held)),
    placesMovedByEntry: meanOf(byEntry),
    fewestZones: Math.min(...zones),
  };
}

function judge(figures: Figures): string | undefined {
  const value = (name: string) => figures[name] ?? NaN;
  const faults = [
    value('balancedLoadMostOverMean') <= LOAD_MARK ? [] : ['load uneven'],
    value('placesMovedByTarget') <= MOVED_MARK * value('placesOfThatTarget')
      ? []
      : ['a target moves places of others'],
    value('placesMovedByEntry') === 0 ? [] : ['an entry moves places'],
    value('fewestZones') === ZONES ? [] : ['a zone is missing'],
  ].flat();
  return faults.length === 0 ? undefined : faults.join(', ');
}

async function run(options: MeasureOptions): Promise<MeasureResult> {
  const figures = Object.entries(WAYS).map(
    ([name, way]) => [name, figuresOf(way, options)] as const
  );
  const {ours = {}, ...baselines} = Object.fromEntries(figures);
  const cause = judge(ours);
  return {
    ours,
    baselines,
    mark: `most load with the balance within ${LOAD_MARK} of the mean, a target that goes moves at most ${MOVED_MARK} of its own places, an entry none, every zone in every subset`,
    met: cause === undefined,
    cause,
  };
}

/** See the module. */
export const subsets: Measure = {key: 'subsets', run};
