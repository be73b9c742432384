/**
 * What nodes may send to a target with a rate limit while they reach no leader.
 *
 * Each node acts alone then, and some may still hold tokens of a leader. All nodes
 * together get `limit + SAFE_EXTRA` requests in each window, whole requests that are
 * assigned to nodes in the order of a hash. Nodes that know the same nodes agree on
 * the order without a word.
 */

import murmurhash from 'murmurhash';

/** Window that the share counts in. */
export const SAFE_WINDOW_MS = 4_000;
const SAFE_EXTRA = 2;

/** A target, its limit and the nodes that may send to it. */
export interface SafeShareInput {
  /** Requests per second. */
  readonly limit: number;
  readonly targetId: string;
  readonly nodeId: string;
  /** Ids of all known nodes, this one included. */
  readonly nodeIds: readonly string[];
}

/** Returns the requests that this node may send in each window. */
export function safeShare(input: SafeShareInput): number {
  const {limit, targetId, nodeId, nodeIds} = input;
  const total = Math.floor(limit + SAFE_EXTRA);
  const nodes = Math.max(1, nodeIds.length);
  const orderOf = (id: string) => murmurhash.v3(`${id} ${targetId}`, 0);
  const own = orderOf(nodeId);
  const ahead = nodeIds.filter(id => {
    const order = orderOf(id);
    return order < own || (order === own && id < nodeId);
  }).length;
  return Math.floor(total / nodes) + (ahead < total % nodes ? 1 : 0);
}
