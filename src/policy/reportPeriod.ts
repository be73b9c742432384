/**
 * Interval between the reports of a node to the leader.
 *
 * With hundreds of nodes there is a single leader, which spends up to a millisecond
 * of CPU time on each report. With a fixed interval its load would grow with the
 * number of nodes until changes wait behind reports; an interval that grows with
 * the number of nodes keeps that load constant.
 */

const MIN_PERIOD_MS = 100;
const PERIOD_MS_PER_NODE = 3;

/** Interval between the reports of one node, milliseconds. */
export function reportPeriodMs(nodes: number): number {
  return Math.max(MIN_PERIOD_MS, nodes * PERIOD_MS_PER_NODE);
}
