/**
 * Requests a second that one node sends to one target, so that all nodes
 * together keep to what a cold target bears. A target may turn cold at any
 * moment and is known to be only later, so that the limit holds all the time.
 *
 * Pattern: hundreds of nodes, and a bound of a few dozen requests a second. An
 * even part is less than one request, and one for each node breaks the bound.
 * Half of the bound goes with the permits for the target, of which only a few
 * nodes hold any; the other half to a subset of the nodes.
 */

import murmurhash from 'murmurhash';

/** Sends bunch up on their way: those of 1.1 s may arrive within one. */
const SAFE_PART = 0.9;
const PART_FOR_PERMITS = 0.5;

/** The bound of a target and what this node may use of it. */
export interface ColdRateInput {
  /** Requests a second that the target bears, from all nodes. */
  readonly bound: number;
  readonly nodes: number;
  readonly nodeId: string;
  readonly targetId: string;
  /** Permits that this node holds for the target. */
  readonly permits: number;
  /** Permits that all nodes together hold for it. */
  readonly capacity: number;
}

/** Requests a second of this node to the target, a whole number. */
export function coldRateOf(input: ColdRateInput): number {
  const {bound, permits, capacity} = input;
  const forPermits = bound * SAFE_PART * PART_FOR_PERMITS;
  const held = Math.min(permits, capacity) / Math.max(1, capacity);
  return Math.floor(forPermits * held) + withoutPermits(input);
}

/** An even part; where that is less than one, one for a subset of the nodes. */
function withoutPermits(input: ColdRateInput): number {
  const {bound, nodes, nodeId, targetId} = input;
  const forAll = Math.floor(bound * SAFE_PART * (1 - PART_FOR_PERMITS));
  if (nodes <= forAll) return Math.floor(forAll / Math.max(1, nodes));
  const subsets = Math.ceil(nodes / Math.max(1, forAll * SUBSET_FILL));
  return murmurhash.v3(`${nodeId} ${targetId}`, 0) % subsets === 0 ? 1 : 0;
}

/** Subsets are drawn by a hash and differ in size. */
const SUBSET_FILL = 0.6;
