/**
 * How often nodes report to the leader.
 *
 * Pattern: hundreds of nodes and one leader that answers each report within a
 * millisecond of its processor. With a fixed period its load grows with the nodes
 * until changes wait behind reports; with a period that grows it stays the same.
 */

const MIN_PERIOD_MS = 100;
const PERIOD_MS_PER_NODE = 3;

/** Period of the reports of one node, milliseconds. */
export function reportPeriodMs(nodes: number): number {
  return Math.max(MIN_PERIOD_MS, nodes * PERIOD_MS_PER_NODE);
}
