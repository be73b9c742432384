/**
 * `subsets`: how evenly targets are loaded when each entry follows a subset of
 * each pool, and how many subset members change when a target or an entry leaves.
 */

import {chooseSubset, entrySeed, targetKey} from '../../src/policy/subset';
import {SeededRandom} from '../fuzz/schedule';
import type {Figures, Measure, MeasureOptions, MeasureResult} from '../measure';

const ZONES = 17;
const SUBSET_SIZE = 64;
/** Subset size of an entry that follows many pools. */
const SMALL_SUBSET_SIZE = 8;
/** The number of targets is about that of the largest of nine pools. */
const FULL = {entries: 2_900, targets: 1_111, trials: 10};
const QUICK = {entries: 290, targets: 400, trials: 3};
/** Mean number of running requests per target in the balanced load. */
const REQUESTS_PER_TARGET = 30;
/** Number of targets that the load balancing compares for a request. */
const CHOICES = 3;
const MAX_LOAD_RATIO = 1.15;
const MAX_MOVED_RATIO = 1.05;

interface Target {
  readonly targetId: string;
  readonly availabilityZone: string;
  readonly usable: boolean;
  readonly key: Uint8Array;
}

type Random = () => number;
/** Chooses the subset of one entry; `index` is its position in the list of entries. */
type SubsetPolicy = (
  entryId: string,
  index: number,
  targets: readonly Target[],
  random: Random
) => readonly Target[];

function rendezvous(size: number): SubsetPolicy {
  return (entryId, _, targets) =>
    chooseSubset(entrySeed(`${entryId}/pool`), targets, size);
}

/** A random subset, drawn again whenever the list changes. */
const randomSubset: SubsetPolicy = (_entryId, _index, targets, random) =>
  shuffled(targets, random).slice(0, SUBSET_SIZE);

/** A consecutive part of the list, which starts at the hash of the entry modulo its length. */
function hashMod(entryId: string, _: number, targets: readonly Target[]) {
  const start = entrySeed(entryId) % targets.length;
  return Array.from(
    {length: SUBSET_SIZE},
    (_unused, i) => targets[(start + i) % targets.length]!
  );
}

/** Deterministic subsetting: each round of entries divides a shuffled list among them. */
function dealtInRounds(_: string, index: number, targets: readonly Target[]) {
  const perRound = Math.floor(targets.length / SUBSET_SIZE);
  const round = shuffled(targets, seeded(Math.floor(index / perRound)));
  const start = (index % perRound) * SUBSET_SIZE;
  return round.slice(start, start + SUBSET_SIZE);
}

const POLICIES: Readonly<Record<string, SubsetPolicy>> = {
  ours: rendezvous(SUBSET_SIZE),
  [`oursOf${SMALL_SUBSET_SIZE}`]: rendezvous(SMALL_SUBSET_SIZE),
  random: randomSubset,
  hashMod,
  dealt: dealtInRounds,
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
    private readonly policy: SubsetPolicy,
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
        this.policy(entryId, index, targets, this.random),
      ])
    );
  }

  /** Load of each target if every entry spreads an equal load evenly over its subset. */
  equalLoad(subsets: Subsets): readonly number[] {
    const loads = new Map(this.targets.map(target => [target, 0]));
    for (const own of subsets.values())
      for (const target of own)
        loads.set(target, (loads.get(target) ?? 0) + 1 / own.length);
    return [...loads.values()];
  }

  /** Load of each target if entries choose the least loaded of a few of their subset. */
  balancedLoad(subsets: Subsets): readonly number[] {
    const loads = new Map(this.targets.map(target => [target, 0]));
    const lists = [...subsets.values()];
    const requests = REQUESTS_PER_TARGET * this.targets.length;
    for (let i = 0; i < requests; i++) {
      const own = lists[i % lists.length] ?? [];
      const picks = Array.from(
        {length: CHOICES},
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

/** Number of subset members in `after` that were not in `before`. */
function countMoved(before: Subsets, after: Subsets): number {
  let count = 0;
  for (const [entryId, own] of after) {
    const held = new Set(before.get(entryId));
    count += own.filter(target => !held.has(target)).length;
  }
  return count;
}

function loadRange(values: readonly number[]) {
  const mean = meanOf(values);
  const byMean = values.map(value => value / mean);
  return {most: Math.max(...byMean), least: Math.min(...byMean)};
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, one) => sum + one, 0) / values.length;
}

function figuresOf(way: SubsetPolicy, {quick, seed}: MeasureOptions): Figures {
  const size = quick ? QUICK : FULL;
  const world = new World(way, size, seed);
  const before = world.subsets();
  const equal = loadRange(world.equalLoad(before));
  const balanced = loadRange(world.balancedLoad(before));
  const byTarget = Array.from({length: size.trials}, () => {
    const gone = world.pick(world.targets);
    const left = world.targets.filter(target => target !== gone);
    const held = [...before.values()].filter(own => own.includes(gone)).length;
    return {
      held,
      moved: countMoved(before, world.subsets(world.entryIds, left)),
    };
  });
  const byEntry = Array.from({length: size.trials}, () => {
    const gone = world.pick(world.entryIds);
    const left = world.entryIds.filter(entryId => entryId !== gone);
    return countMoved(before, world.subsets(left));
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

function failureCause(figures: Figures): string | undefined {
  const value = (name: string) => figures[name] ?? NaN;
  const failures = [
    value('balancedLoadMostOverMean') <= MAX_LOAD_RATIO ? [] : ['load uneven'],
    value('placesMovedByTarget') <=
    MAX_MOVED_RATIO * value('placesOfThatTarget')
      ? []
      : ['a target moves places of others'],
    value('placesMovedByEntry') === 0 ? [] : ['an entry moves places'],
    value('fewestZones') === ZONES ? [] : ['a zone is missing'],
  ].flat();
  return failures.length === 0 ? undefined : failures.join(', ');
}

async function run(options: MeasureOptions): Promise<MeasureResult> {
  const figures = Object.entries(POLICIES).map(
    ([name, way]) => [name, figuresOf(way, options)] as const
  );
  const {ours = {}, ...baselines} = Object.fromEntries(figures);
  const cause = failureCause(ours);
  return {
    ours,
    baselines,
    mark: `most load with the balance within ${MAX_LOAD_RATIO} of the mean, a target that goes moves at most ${MAX_MOVED_RATIO} of its own places, an entry none, every zone in every subset`,
    met: cause === undefined,
    cause,
  };
}

/** See the head of this file. */
export const subsets: Measure = {key: 'subsets', run};
