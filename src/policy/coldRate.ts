/**
 * Divides the rate limit of a cold target among the nodes. A target may become
 * cold at any moment and nodes learn of it only later, so the limit applies
 * whether or not the target is known to be cold.
 *
 * With hundreds of nodes and a limit of a few dozen requests per second, an even
 * split gives each node less than one request, and one request per node exceeds
 * the limit. Therefore half of the limit is divided in proportion to the permits
 * for the target, which only a few nodes hold; the other half goes to a subset of
 * the nodes.
 */

import murmurhash from 'murmurhash';

/** Requests sent over 1.1 s may arrive within one second. */
const SAFETY_RATIO = 0.9;
/** Part of the limit that is divided in proportion to permits. */
const PERMIT_RATIO = 0.5;

/** Rate limit of a target and what this node's part of it depends on. */
export interface ColdRateInput {
  /** Requests per second that the target can handle from all nodes together. */
  readonly bound: number;
  readonly nodes: number;
  readonly nodeId: string;
  readonly targetId: string;
  /** Permits of this node for the target. */
  readonly permits: number;
  /** Permits of all nodes together for the target. */
  readonly capacity: number;
}

/** Returns the requests per second that this node may send, a whole number. */
export function coldRateLimit(input: ColdRateInput): number {
  const {bound, permits, capacity} = input;
  const rateForPermits = bound * SAFETY_RATIO * PERMIT_RATIO;
  const heldRatio = Math.min(permits, capacity) / Math.max(1, capacity);
  return Math.floor(rateForPermits * heldRatio) + nodeRateWithoutPermits(input);
}

/**
 * Divides the other part evenly; if that is less than one request for each node, a
 * hashed subset of the nodes gets one each.
 */
function nodeRateWithoutPermits(input: ColdRateInput): number {
  const {bound, nodes, nodeId, targetId} = input;
  const rateWithoutPermits = Math.floor(
    bound * SAFETY_RATIO * (1 - PERMIT_RATIO)
  );
  if (nodes <= rateWithoutPermits)
    return Math.floor(rateWithoutPermits / Math.max(1, nodes));
  const subsets = Math.ceil(
    nodes / Math.max(1, rateWithoutPermits * SUBSET_SIZE_MARGIN)
  );
  return murmurhash.v3(`${nodeId} ${targetId}`, 0) % subsets === 0 ? 1 : 0;
}

/** Leaves room for hashed subsets that are larger than the average. */
const SUBSET_SIZE_MARGIN = 0.6;
