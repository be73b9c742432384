/**
 * Copies of experts that one rank takes in with one switch of maps, over all
 * sets.
 *
 * Pattern: a shift of demand, every few seconds. All passes are slow
 * until the copies are made and the map is switched, and somewhat slower while
 * they are made. One copy a rank takes most of the load off the hottest ranks; a
 * second switch does the rest. A rank that turns slow is to be rid of all that
 * it holds.
 */

const FIRST_COPIES = 1;
const LATER_COPIES = 2;
/** Highest load over the mean from which the first, small switch pays. */
const HIGH_SKEW = 1.9;
/** Small experts are copied faster: so many fit into the time of a large one. */
const FIRST_COPIES_MS = 60;
const MAX_COPIES = 4;
/**
 * A slow rank is to be rid of its experts with few switches, as long as it is
 * the one that makes passes long: by so much of the skew. Once it is empty, more
 * copies a rank only delay the map that answers the next shift.
 */
const SLOW_RANK_SKEW = 0.5;

/** What the number depends on. */
export interface CopyInput {
  /** Highest load over the mean, mean of the sets. */
  readonly skew: number;
  /** The same if all ranks were in order. */
  readonly skewIfInOrder: number;
  /** Time that one copy takes, milliseconds. */
  readonly copyMs: number;
}

/** Copies a rank at most. */
export function copiesARank({skew, skewIfInOrder, copyMs}: CopyInput): number {
  if (skew - skewIfInOrder >= SLOW_RANK_SKEW) return MAX_COPIES;
  const usual = skew >= HIGH_SKEW ? FIRST_COPIES : LATER_COPIES;
  const inTime = Math.floor(FIRST_COPIES_MS / Math.max(1, copyMs));
  return Math.min(MAX_COPIES, Math.max(usual, inTime));
}
