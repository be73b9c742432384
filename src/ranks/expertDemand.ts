/**
 * Estimates the demand for each expert from the counts of a sample of ranks.
 *
 * Pattern: demand shifts suddenly, not gradually. Choices since the last shift
 * are added up; older ones would distort the estimate. The few requests of a
 * rank cover few subjects, each with experts of its own, so two samples differ
 * even if demand stays the same. A sample shows a shift when it differs from
 * the known demand by more than the ranks of a sample differ from each other.
 */

import {sum} from '../core/sum';
import type {ExpertCounts} from '../ports/rankPort';

/**
 * Choices that a window needs for each expert, on average, to show the shares
 * of the experts that matter.
 */
const MIN_CHOICES_PER_EXPERT = 28;
/**
 * Ratio from which a sample shows a shift: its squared distance from the known
 * demand over the expected value without a shift.
 */
const SHIFT_THRESHOLD = 3;
/** Weight limit of the known demand, in windows; older windows decay. */
const MAX_WINDOWS = 6;
/** EWMA weight of one sample in the variance between ranks. */
const RANK_VARIANCE_EWMA_WEIGHT = 0.3;

/** Result of a reading. */
export type DemandChange =
  /** Too few choices since the window began. */
  | 'nothing'
  | 'same'
  /** Demand differs from before; the window held only the new demand. */
  | 'shifted'
  /**
   * Demand shifted within the window; the next reading shows the new demand.
   */
  | 'shifting';

/** Counts of one rank. */
export interface RankCounts {
  readonly rankId: string;
  readonly counts: ExpertCounts;
}

/** Demand since its last shift. */
export class ExpertDemand {
  /** Counts of each rank when its current window began. */
  private readonly windowStarts = new Map<string, ExpertCounts>();
  private knownCounts: readonly number[] = [];
  /** Expected squared error of `knownCounts`, as shares of all choices. */
  private knownError = 0;
  /**
   * Expected squared distance of one rank's demand from that of all ranks;
   * undefined before the first sample of several ranks.
   */
  private rankVariance: number | undefined;
  private lastFilled = 0;
  private lastShiftRatio = 0;

  constructor(
    private readonly sets: number,
    private readonly experts: number
  ) {}

  /** Choices of the last reading over the number needed; enough from 1 on. */
  get filled(): number {
    return this.lastFilled;
  }

  /**
   * Squared distance of the last sample from the known demand, over its
   * expected value; about 1 without a shift.
   */
  get shiftRatio(): number {
    return this.lastShiftRatio;
  }

  /** Begins new windows for these ranks; earlier choices are not counted. */
  beginWindows(readings: readonly RankCounts[]): void {
    for (const {rankId, counts} of readings)
      this.windowStarts.set(rankId, counts);
  }

  /**
   * Adds a reading of each rank; the first one of a rank only begins its
   * window. A window is recent if it began after a shift was suspected, so that
   * it holds no choices of the demand before.
   */
  addReadings(
    readings: readonly RankCounts[],
    isRecent: boolean
  ): DemandChange {
    const withWindow = readings.filter(reading =>
      this.continuesWindow(reading)
    );
    const windows = withWindow.map(reading => this.windowCountsOf(reading));
    const windowCounts = sumWindows(windows, this.sets * this.experts);
    const minChoices = MIN_CHOICES_PER_EXPERT * this.sets * this.experts;
    this.lastFilled = sum(windowCounts) / minChoices;
    const hasEnoughChoices = this.lastFilled >= 1;
    const withoutWindow = readings.filter(
      reading => !withWindow.includes(reading)
    );
    this.beginWindows(hasEnoughChoices ? readings : withoutWindow);
    if (!hasEnoughChoices) return 'nothing';
    return this.compare(
      windowCounts,
      this.expectedError(windows, windowCounts),
      isRecent
    );
  }

  /** Whether the demand has this number of sets and of experts per set. */
  fits(sets: number, experts: number): boolean {
    return this.sets === sets && this.experts === experts;
  }

  /** Demand for the experts of one set; uniform before the first sample. */
  ofSet(set: number): readonly number[] {
    const from = set * this.experts;
    const setCounts = this.knownCounts.slice(from, from + this.experts);
    while (setCounts.length < this.experts) setCounts.push(0);
    return withPrior(setCounts);
  }

  private compare(
    windowCounts: readonly number[],
    error: number,
    isRecent: boolean
  ): DemandChange {
    const isFirst = this.knownCounts.length === 0;
    this.lastShiftRatio = isFirst
      ? 0
      : squaredDistance(windowCounts, this.knownCounts) /
        (error + this.knownError);
    if (!isFirst && this.lastShiftRatio < SHIFT_THRESHOLD) {
      this.addWindow(windowCounts, error);
      return 'same';
    }
    if (!isFirst && !isRecent) return 'shifting';
    this.knownCounts = windowCounts;
    this.knownError = error;
    return 'shifted';
  }

  /** Adds a window of unchanged demand; older windows decay. */
  private addWindow(windowCounts: readonly number[], error: number): void {
    const knownSum = sum(this.knownCounts);
    const windowSum = sum(windowCounts);
    const keptRatio = Math.min(1, ((MAX_WINDOWS - 1) * windowSum) / knownSum);
    const windowWeight = windowSum / (knownSum * keptRatio + windowSum);
    this.knownCounts = this.knownCounts.map(
      (count, i) => count * keptRatio + (windowCounts[i] ?? 0)
    );
    this.knownError =
      (1 - windowWeight) ** 2 * this.knownError + windowWeight ** 2 * error;
  }

  /**
   * Expected squared error of a sample, from the variance between its ranks. A
   * sample of a single rank uses the variance of earlier samples.
   */
  private expectedError(
    windows: readonly (readonly number[])[],
    windowCounts: readonly number[]
  ): number {
    const total = sum(windowCounts);
    const sums = windows.map(sum).filter(size => size > 0);
    const samplingError = 1 / total;
    const squaredShares = sums.reduce(
      (all, size) => all + (size / total) ** 2,
      0
    );
    if (sums.length < 2)
      return Math.max(samplingError, (this.rankVariance ?? 0) * squaredShares);
    const betweenRanks = windows.reduce((all, window) => {
      const size = sum(window);
      if (size === 0) return all;
      return all + (size / total) ** 2 * squaredDistance(window, windowCounts);
    }, 0);
    const error = (betweenRanks * sums.length) / (sums.length - 1);
    const previousVariance = this.rankVariance ?? error / squaredShares;
    this.rankVariance =
      previousVariance +
      (error / squaredShares - previousVariance) * RANK_VARIANCE_EWMA_WEIGHT;
    return Math.max(samplingError, this.rankVariance * squaredShares);
  }

  private continuesWindow({rankId, counts}: RankCounts): boolean {
    const start = this.windowStarts.get(rankId);
    return start !== undefined && !hasRestarted(start, counts);
  }

  /** Choices of a rank since its window began, by expert. */
  private windowCountsOf({rankId, counts}: RankCounts): readonly number[] {
    const startCounts = this.windowStarts.get(rankId)?.counts ?? [];
    return counts.counts.map((count, i) => count - (startCounts[i] ?? 0));
  }
}

/** Squared distance of two demands, each as shares of all its choices. */
function squaredDistance(a: readonly number[], b: readonly number[]): number {
  const sumA = Math.max(1, sum(a));
  const sumB = Math.max(1, sum(b));
  return a.reduce(
    (all, count, i) => all + (count / sumA - (b[i] ?? 0) / sumB) ** 2,
    0
  );
}

function sumWindows(
  windows: readonly (readonly number[])[],
  length: number
): readonly number[] {
  return Array.from({length}, (_, i) =>
    windows.reduce((all, window) => all + (window[i] ?? 0), 0)
  );
}

/** Whether the rank has restarted, which resets its counts. */
function hasRestarted(before: ExpertCounts, now: ExpertCounts): boolean {
  if (before.epoch !== now.epoch) return true;
  return now.counts.some((count, i) => count < (before.counts[i] ?? 0));
}

/**
 * Demand added to each expert, as a ratio of the mean (a twentieth). An expert
 * that was not chosen recently will be chosen again; without this, a plan could
 * fill a rank with such experts.
 */
const PRIOR_RATIO = 0.05;

function withPrior(demand: readonly number[]): readonly number[] {
  const mean = sum(demand) / demand.length;
  return demand.map(value => value + Math.max(mean, 1) * PRIOR_RATIO);
}
