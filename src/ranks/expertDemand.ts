/**
 * Which experts are in demand, from the counts of a sample of ranks.
 *
 * Pattern: demand shifts at once, not bit by bit. Choices since the last shift
 * are added up; older ones would only blur what is seen. The few requests of a
 * rank ask for few subjects, each with experts of its own, so that two samples of
 * one demand differ as well. A sample shows a shift when it differs by more than
 * the ranks of a sample differ from each other.
 */

import {sum} from '../core/sum';
import type {ExpertCounts} from '../ports/rankPort';

/** Choices that tell the parts of the experts that matter, for each expert. */
const ENOUGH_PER_EXPERT = 28;
/** Squared difference of two samples over its expected value without a shift. */
const SHIFT_RATIO = 3;
/** Windows that the known demand stands for; older ones fade. */
const MAX_WINDOWS = 6;
/** EWMA weight of one sample in the spread between ranks. */
const SPREAD_WEIGHT = 0.3;

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
  /** Expected squared error of what is known, in parts of all choices. */
  private sinceError = 0;
  /** Expected squared difference of one rank from all; undefined before a sample. */
  private rankSpread: number | undefined;
  private lastFilled = 0;
  private lastRatio = 0;

  constructor(
    private readonly sets: number,
    private readonly experts: number
  ) {}

  /** Choices of the last reading, in parts of what tells enough. */
  get filled(): number {
    return this.lastFilled;
  }

  /** Difference of the last sample over its expected value; 1 without a shift. */
  get shiftRatio(): number {
    return this.lastRatio;
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
    const windows = known.map(reading => this.windowOf(reading));
    const fresh = sumOfAll(windows, this.sets * this.experts);
    const enough = ENOUGH_PER_EXPERT * this.sets * this.experts;
    this.lastFilled = sum(fresh) / enough;
    const isEnough = this.lastFilled >= 1;
    const begun = readings.filter(reading => !known.includes(reading));
    this.begin(isEnough ? readings : begun);
    if (!isEnough) return 'nothing';
    return this.compare(fresh, this.errorOf(windows, fresh), isRecent);
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

  private compare(
    fresh: readonly number[],
    error: number,
    isRecent: boolean
  ): DemandChange {
    const isFirst = this.since.length === 0;
    this.lastRatio = isFirst
      ? 0
      : distanceOf(fresh, this.since) / (error + this.sinceError);
    if (!isFirst && this.lastRatio < SHIFT_RATIO) {
      this.add(fresh, error);
      return 'same';
    }
    if (!isFirst && !isRecent) return 'shifting';
    this.since = fresh;
    this.sinceError = error;
    return 'shifted';
  }

  /** Adds a window of the same demand; old ones fade. */
  private add(fresh: readonly number[], error: number): void {
    const known = sum(this.since);
    const freshSum = sum(fresh);
    const kept = Math.min(1, ((MAX_WINDOWS - 1) * freshSum) / known);
    const part = freshSum / (known * kept + freshSum);
    this.since = this.since.map((count, i) => count * kept + (fresh[i] ?? 0));
    this.sinceError = (1 - part) ** 2 * this.sinceError + part ** 2 * error;
  }

  /**
   * Expected squared error of a sample, from how far its ranks are apart; for a
   * single rank, from how far ranks were apart before.
   */
  private errorOf(
    windows: readonly (readonly number[])[],
    fresh: readonly number[]
  ): number {
    const total = sum(fresh);
    const sums = windows.map(sum).filter(size => size > 0);
    const byChance = 1 / total;
    const squares = sums.reduce((all, size) => all + (size / total) ** 2, 0);
    if (sums.length < 2)
      return Math.max(byChance, (this.rankSpread ?? 0) * squares);
    const apart = windows.reduce((all, window) => {
      const size = sum(window);
      if (size === 0) return all;
      return all + (size / total) ** 2 * distanceOf(window, fresh);
    }, 0);
    const error = (apart * sums.length) / (sums.length - 1);
    const before = this.rankSpread ?? error / squares;
    this.rankSpread = before + (error / squares - before) * SPREAD_WEIGHT;
    return Math.max(byChance, this.rankSpread * squares);
  }

  private continues({rankId, counts}: RankCounts): boolean {
    const begin = this.begins.get(rankId);
    return begin !== undefined && !isOtherLife(begin, counts);
  }

  /** Choices of a rank since its window began. */
  private windowOf({rankId, counts}: RankCounts): readonly number[] {
    const before = this.begins.get(rankId)?.counts ?? [];
    return counts.counts.map((count, i) => count - (before[i] ?? 0));
  }
}

/** Squared distance of two demands, each in parts of all its choices. */
function distanceOf(a: readonly number[], b: readonly number[]): number {
  const sumA = Math.max(1, sum(a));
  const sumB = Math.max(1, sum(b));
  return a.reduce(
    (all, count, i) => all + (count / sumA - (b[i] ?? 0) / sumB) ** 2,
    0
  );
}

function sumOfAll(
  windows: readonly (readonly number[])[],
  length: number
): readonly number[] {
  return Array.from({length}, (_, i) =>
    windows.reduce((all, window) => all + (window[i] ?? 0), 0)
  );
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
  const mean = sum(demand) / demand.length;
  return demand.map(value => value + Math.max(mean, 1) * PRIOR_PART);
}
