/**
 * Which experts are in demand, from the counts of one rank. Requests are spread
 * over all ranks whatever they ask, and each token chooses by itself, so that
 * the tokens of one rank in a few passes tell what all choose: the part of the
 * most popular expert within one in a hundred. What is in demand changes at
 * once, not bit by bit, so that older choices only blur what is seen.
 */

import type {ExpertCounts} from '../ports/rankPort';

/** Choices of one set that tell the parts of all but the rarest experts. */
const ENOUGH_PER_SET = 3_000;
/** Experts whose old demand tells how much of a reading is from before. */
const TELLING_EXPERTS = 12;
/** Of these so many, at least, lose their demand with a shift. */
const FADED_EXPERTS = 3;
/** A reading that is old by less than this part is taken as it is. */
const LEAST_OLD_PART = 0.1;
/** With more of it old, what is left of the new demand is mostly noise. */
const MOST_OLD_PART = 0.7;

/** What a reading showed. */
export type DemandChange =
  /** Too few choices since the last reading. */
  | 'nothing'
  | 'same'
  /** Another demand, told apart from the one before. */
  | 'shifted'
  /** It shifted too shortly before to tell what is in demand now. */
  | 'shifting';

/** Demand as the latest reading shows it. */
export class ExpertDemand {
  private base: ExpertCounts | undefined;
  private baseRank = '';
  private latest: readonly number[] = [];

  constructor(
    private readonly sets: number,
    private readonly experts: number
  ) {}

  /** Takes in a reading of one rank; the first of a rank only begins its count. */
  note(rankId: string, reading: ExpertCounts): DemandChange {
    const {base} = this;
    const isFirst = base === undefined || this.baseRank !== rankId;
    if (isFirst || isOtherLife(base, reading)) {
      this.base = reading;
      this.baseRank = rankId;
      return 'nothing';
    }
    const fresh = reading.counts.map((n, i) => n - (base.counts[i] ?? 0));
    if (sumOf(fresh) < ENOUGH_PER_SET * this.sets) return 'nothing';
    this.base = reading;
    return this.tellApart(fresh);
  }

  /** Demand of one set; all alike before anything was seen. */
  ofSet(set: number): readonly number[] {
    return withPrior(this.slice(this.latest, set));
  }

  /**
   * A reading across a shift holds both demands. How much of it is old shows
   * in the experts that were in demand: those that no longer are have nothing
   * but old choices in it.
   */
  private tellApart(fresh: readonly number[]): DemandChange {
    if (this.latest.length === 0) {
      this.latest = fresh;
      return 'shifted';
    }
    if (this.differenceOf(fresh) < SAME_DIFFERENCE) {
      this.latest = fresh;
      return 'same';
    }
    const oldPart = this.oldPartOf(fresh);
    const before = this.latest;
    if (oldPart > MOST_OLD_PART) return 'shifting';
    const scale = sumOf(fresh) / Math.max(1, sumOf(before));
    const part = oldPart < LEAST_OLD_PART ? 0 : oldPart;
    this.latest = fresh.map((count, i) =>
      Math.max(0, count - part * scale * (before[i] ?? 0))
    );
    return 'shifted';
  }

  /** Mean over the sets of the part of a reading that is old demand. */
  private oldPartOf(fresh: readonly number[]): number {
    let sum = 0;
    for (let set = 0; set < this.sets; set++) {
      const now = this.slice(fresh, set);
      const before = this.slice(this.latest, set);
      const scale = sumOf(now) / Math.max(1, sumOf(before));
      const ratios = before
        .map((count, i) => ({count, ratio: (now[i] ?? 0) / (count * scale)}))
        .sort((a, b) => b.count - a.count)
        .slice(0, TELLING_EXPERTS)
        .map(({ratio}) => ratio)
        .sort((a, b) => a - b);
      sum += Math.min(1, ratios[FADED_EXPERTS - 1] ?? 1);
    }
    return sum / this.sets;
  }

  /** Part of the choices that went to other experts than before, 0 to 1. */
  private differenceOf(fresh: readonly number[]): number {
    const before = this.latest;
    const now = sumOf(fresh);
    const then = Math.max(1, sumOf(before));
    const moved = fresh.reduce(
      (sum, count, i) => sum + Math.abs(count / now - (before[i] ?? 0) / then),
      0
    );
    return moved / 2;
  }

  private slice(counts: readonly number[], set: number): number[] {
    const from = set * this.experts;
    const part = counts.slice(from, from + this.experts);
    while (part.length < this.experts) part.push(0);
    return part;
  }
}

/** Two readings of one demand differ by less: the noise of their choices. */
const SAME_DIFFERENCE = 0.15;

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
