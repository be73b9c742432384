/** A lower bound on the skew that any placement can reach. */

import type {PlacementShape, Popularity} from './placement';
import {scaledToMeanRank} from './placement';

const PRECISION = 1e-6;

/** Replicas beyond one per expert that keep each replica within `maxLoad`. */
function spareReplicasNeeded(
  loads: readonly number[],
  maxLoad: number
): number {
  return loads.reduce(
    (sum, load) => sum + Math.max(0, Math.ceil(load / maxLoad - PRECISION) - 1),
    0
  );
}

/**
 * Lower bound on the skew (max over mean load of ranks). An expert whose load
 * exceeds the bound needs replicas on several ranks, and the number of spare
 * slots limits the replicas of all experts.
 */
export function skewLowerBound(
  shape: PlacementShape,
  popularity: Popularity
): number {
  const ranks = shape.slotsByRank.length;
  const slots = shape.slotsByRank.reduce((sum, count) => sum + count, 0);
  const spares = slots - shape.experts;
  const loads = scaledToMeanRank(popularity, ranks);
  if (spareReplicasNeeded(loads, 1) <= spares) return 1;
  let low = 1;
  let high = Math.max(...loads);
  while (high - low > PRECISION) {
    const middle = (low + high) / 2;
    if (spareReplicasNeeded(loads, middle) <= spares) high = middle;
    else low = middle;
  }
  return low;
}
