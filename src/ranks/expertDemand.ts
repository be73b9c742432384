/**
 * Which experts are in demand, from the counts of one rank. Requests are spread
 * over all ranks whatever they ask, and each token chooses by itself, so that
 * the tokens of one rank in a few passes tell what all choose: the part of the
 * most popular expert within one in a hundred. What is in demand changes at
 * once, not bit by bit, so that older choices only blur what is seen.
 */

import type {ExpertCounts} from '../ports/rankPort';

/** Choices of one set that tell the parts of all but the rarest experts. */
const ENOUGH_PER_SET = 4_000;

/** Demand between the two latest readings that are far enough apart. */
export class ExpertDemand {
  private base: ExpertCounts | undefined;
  private latest: readonly number[] = [];

  constructor(
    private readonly sets: number,
    private readonly experts: number
  ) {}

  /** Takes in a reading; true when it shows something new. */
  note(reading: ExpertCounts): boolean {
    const {base} = this;
    if (base === undefined || isOtherLife(base, reading)) {
      this.base = reading;
      return false;
    }
    const fresh = reading.counts.map((n, i) => n - (base.counts[i] ?? 0));
    const seen = fresh.reduce((sum, count) => sum + count, 0);
    if (seen < ENOUGH_PER_SET * this.sets) return false;
    this.base = reading;
    this.latest = fresh;
    return true;
  }

  /** Demand of one set; all alike before anything was seen. */
  ofSet(set: number): readonly number[] {
    const from = set * this.experts;
    const part = this.latest.slice(from, from + this.experts);
    while (part.length < this.experts) part.push(0);
    return withPrior(part);
  }
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
  const mean = demand.reduce((sum, value) => sum + value, 0) / demand.length;
  return demand.map(value => value + Math.max(mean, 1) * PRIOR_PART);
}
