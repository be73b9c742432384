/** A lower bound on the skew that any placement can reach. */

import type {PlacementShape, Popularity} from './placement';
import {scaledToMeanRank} from './placement';

const PRECISION = 1e-6;

/** Replicas beyond the first that every expert needs, if no rank exceeds `most`. */
function sparesNeeded(loads: readonly number[], most: number): number {
  return loads.reduce(
    (sum, load) => sum + Math.max(0, Math.ceil(load / most - PRECISION) - 1),
    0
  );
}

/**
 * Lower bound on slowest over mean rank. An expert with load above the bound
 * must stand on several ranks, and the spare slots limit how many in all.
 */
export function skewLowerBound(
  shape: PlacementShape,
  popularity: Popularity
): number {
  const ranks = shape.slotsByRank.length;
  const slots = shape.slotsByRank.reduce((sum, count) => sum + count, 0);
  const spares = slots - shape.experts;
  const loads = scaledToMeanRank(popularity, ranks);
  if (sparesNeeded(loads, 1) <= spares) return 1;
  let low = 1;
  let high = Math.max(...loads);
  while (high - low > PRECISION) {
    const middle = (low + high) / 2;
    if (sparesNeeded(loads, middle) <= spares) high = middle;
    else low = middle;
  }
  return low;
}
