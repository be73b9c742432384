/**
 * Which experts are in demand, from the counts of some ranks. What is in demand
 * changes at once, not bit by bit: choices since the last shift are added up,
 * and what was chosen before only blurs what is seen.
 *
 * The requests of one rank ask for a few subjects at a time, and each subject
 * has experts of its own, so that the counts of a single rank differ from what
 * all choose, and plans for them move copies back and forth. The counts of some
 * ranks together are nearer to what all choose.
 */

import type {ExpertCounts} from '../ports/rankPort';

/** Choices that tell the parts of the experts that matter, for each expert. */
const ENOUGH_PER_EXPERT = 28;
/** Two windows of one demand differ by less: the noise of their choices. */
const SAME_DIFFERENCE = 0.2;

/** What a reading showed. */
export type DemandChange =
  /** Too few choices since the last reading. */
  | 'nothing'
  | 'same'
  /** Another demand than the one before; now known by itself. */
  | 'shifted'
  /** It shifted since the last reading; the next one will show the new demand. */
  | 'shifting';

/** Counts of one rank. */
export interface RankCounts {
  readonly rankId: string;
  readonly counts: ExpertCounts;
}

/** Demand since its last shift. */
export class ExpertDemand {
  /** Where the present window of each rank began. */
  private readonly begins = new Map<string, ExpertCounts>();
  private since: readonly number[] = [];
  private lastFilled = 0;

  constructor(
    private readonly sets: number,
    private readonly experts: number
  ) {}

  /** Choices of the last reading, in parts of what tells enough. */
  get filled(): number {
    return this.lastFilled;
  }

  /** Begins the windows of these ranks anew, and leaves out what came before. */
  begin(readings: readonly RankCounts[]): void {
    for (const {rankId, counts} of readings) this.begins.set(rankId, counts);
  }

  /**
   * Takes in a reading; the first of a rank only begins its window. A window
   * is recent if it began when a shift was suspected: it holds nothing old.
   */
  note(readings: readonly RankCounts[], isRecent: boolean): DemandChange {
    const known = readings.filter(reading => this.continues(reading));
    const fresh = this.freshOf(known);
    const enough = ENOUGH_PER_EXPERT * this.sets * this.experts;
    this.lastFilled = sumOf(fresh) / enough;
    const isEnough = this.lastFilled >= 1;
    const begun = readings.filter(reading => !known.includes(reading));
    this.begin(isEnough ? readings : begun);
    return isEnough ? this.compare(fresh, isRecent) : 'nothing';
  }

  /** Whether it counts that many sets and experts. */
  fits(sets: number, experts: number): boolean {
    return this.sets === sets && this.experts === experts;
  }

  /** Demand of one set; all alike before anything was seen. */
  ofSet(set: number): readonly number[] {
    const from = set * this.experts;
    const part = this.since.slice(from, from + this.experts);
    while (part.length < this.experts) part.push(0);
    return withPrior(part);
  }

  private compare(fresh: readonly number[], isRecent: boolean): DemandChange {
    const isFirst = this.since.length === 0;
    if (!isFirst && differenceOf(fresh, this.since) < SAME_DIFFERENCE) {
      this.since = this.since.map((count, i) => count + (fresh[i] ?? 0));
      return 'same';
    }
    if (!isFirst && !isRecent) return 'shifting';
    this.since = fresh;
    return 'shifted';
  }

  private continues({rankId, counts}: RankCounts): boolean {
    const begin = this.begins.get(rankId);
    return begin !== undefined && !isOtherLife(begin, counts);
  }

  private freshOf(readings: readonly RankCounts[]): readonly number[] {
    const fresh = Array.from({length: this.sets * this.experts}, () => 0);
    for (const {rankId, counts} of readings) {
      const before = this.begins.get(rankId)?.counts ?? [];
      counts.counts.forEach((count, i) => {
        fresh[i] = (fresh[i] ?? 0) + count - (before[i] ?? 0);
      });
    }
    return fresh;
  }
}

/** Part of the choices that went to other experts, 0 to 1. */
function differenceOf(
  fresh: readonly number[],
  before: readonly number[]
): number {
  const now = Math.max(1, sumOf(fresh));
  const then = Math.max(1, sumOf(before));
  const moved = fresh.reduce(
    (sum, count, i) => sum + Math.abs(count / now - (before[i] ?? 0) / then),
    0
  );
  return moved / 2;
}

function sumOf(counts: readonly number[]): number {
  return counts.reduce((sum, count) => sum + count, 0);
}

/** The rank started anew, and its counts with it. */
function isOtherLife(before: ExpertCounts, now: ExpertCounts): boolean {
  if (before.epoch !== now.epoch) return true;
  return now.counts.some((count, i) => count < (before.counts[i] ?? 0));
}

/**
 * An expert that was not chosen lately will be chosen some time: it counts as
 * a twentieth of the mean, so that no rank is filled up with such ones.
 */
const PRIOR_PART = 0.05;

function withPrior(demand: readonly number[]): readonly number[] {
  const mean = sumOf(demand) / demand.length;
  return demand.map(value => value + Math.max(mean, 1) * PRIOR_PART);
}
