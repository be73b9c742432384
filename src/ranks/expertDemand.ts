/**
 * Which experts are in demand, from the counts of a few ranks. Requests are
 * spread over all ranks whatever they ask, so that some ranks tell nearly what
 * all would; reading each one pauses the group and is paid for.
 */

import type {ExpertCounts} from '../ports/rankPort';

/** Counts of one rank at its last reading. */
interface Reading {
  readonly epoch: number;
  readonly counts: readonly number[];
}

/** Demand by expert, over all sets in a row; older requests count less. */
export class ExpertDemand {
  private readonly readings = new Map<string, Reading>();
  private demand: number[] = [];
  private atMs: number | undefined;

  constructor(
    /** Time in which the weight of what was seen falls to a third. */
    private readonly memoryMs: number
  ) {}

  /** Takes in a reading of one rank. */
  note(rankId: string, {epoch, counts}: ExpertCounts, nowMs: number): void {
    const before = this.readings.get(rankId);
    this.readings.set(rankId, {epoch, counts});
    if (before === undefined || before.epoch !== epoch) return;
    this.age(nowMs);
    counts.forEach((count, expert) => {
      const fresh = Math.max(0, count - (before.counts[expert] ?? 0));
      this.demand[expert] = (this.demand[expert] ?? 0) + fresh;
    });
  }

  /** Choices seen and not yet faded; tells how far the demand can be trusted. */
  get weight(): number {
    return this.demand.reduce((sum, value) => sum + value, 0);
  }

  /** Demand of one set. */
  ofSet(set: number, experts: number): readonly number[] {
    const from = set * experts;
    const part = this.demand.slice(from, from + experts);
    while (part.length < experts) part.push(0);
    return withPrior(part);
  }

  private age(nowMs: number): void {
    const elapsedMs = nowMs - (this.atMs ?? nowMs);
    this.atMs = nowMs;
    if (elapsedMs <= 0) return;
    const kept = Math.exp(-elapsedMs / this.memoryMs);
    this.demand = this.demand.map(value => value * kept);
  }
}

/**
 * An expert that was not chosen lately will be chosen some time: it counts as
 * a tenth of the mean, so that a rank is not filled up with ten of them.
 */
const PRIOR_PART = 0.1;

function withPrior(demand: readonly number[]): readonly number[] {
  const mean = demand.reduce((sum, value) => sum + value, 0) / demand.length;
  return demand.map(value => value + mean * PRIOR_PART);
}
