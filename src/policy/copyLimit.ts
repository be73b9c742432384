/**
 * Limits how many experts one rank copies for one map switch, summed over all
 * expert sets.
 *
 * Demand can shift every few seconds. All passes are slow until the experts are
 * copied and the map is switched, and somewhat slower while copies run. After a
 * shift, one copy per rank removes most of the excess load from the most loaded
 * ranks, and a second switch does the rest. Experts on a slow rank are moved
 * away in as few switches as possible.
 */

/** At a high skew a small switch comes first, because it completes sooner. */
const COPIES_AT_HIGH_SKEW = 1;
const COPIES_AT_LOW_SKEW = 2;
/** Skew (max over mean load of ranks) from which the small first switch pays. */
const HIGH_SKEW = 1.9;
/** Small experts copy faster: as many as fit into the time of a large one. */
const COPY_BUDGET_MS = 60;
const MAX_COPIES_PER_RANK = 4;
/**
 * A slow rank determines the pass duration if it raises the skew by at least
 * this much; its experts are then moved away with as many copies per switch as
 * allowed. Once the rank is empty, more copies would only delay the map for the
 * next demand shift.
 */
const MIN_SLOW_RANK_SKEW = 0.5;

/** Inputs of the limit. */
export interface CopyLimitInput {
  /** Max over mean load of ranks, averaged over the expert sets. */
  readonly skew: number;
  /** The same, computed as if no rank were slow. */
  readonly skewWithoutSlowRanks: number;
  /** Duration of one copy, milliseconds. */
  readonly copyMs: number;
}

/** Maximum number of copies per rank for one map switch. */
export function maxCopiesPerRank({
  skew,
  skewWithoutSlowRanks,
  copyMs,
}: CopyLimitInput): number {
  if (skew - skewWithoutSlowRanks >= MIN_SLOW_RANK_SKEW)
    return MAX_COPIES_PER_RANK;
  const limitBySkew =
    skew >= HIGH_SKEW ? COPIES_AT_HIGH_SKEW : COPIES_AT_LOW_SKEW;
  const limitByTime = Math.floor(COPY_BUDGET_MS / Math.max(1, copyMs));
  return Math.min(MAX_COPIES_PER_RANK, Math.max(limitBySkew, limitByTime));
}
