/**
 * `logMessages`: messages of the replicated log by the number of nodes with a
 * disk, per committed change and per second without changes, and the time until
 * all voters are appointed. In virtual time; the baseline has no voter limit.
 */

import {DiskNodes} from '../fuzz/diskNodes';
import type {Figures, Measure, MeasureOptions, MeasureResult} from '../measure';

const NODE_COUNTS = [10, 30, 100];
const MAX_VOTERS = 9;
const CHANGES = 10;
/** Messages of one change: each voter is asked twice and replies twice. */
const MOST_PER_CHANGE = 4 * MAX_VOTERS;

function figuresOf(
  nodes: number,
  maxVoters: number | undefined,
  seed: number
): Figures {
  const disks = new DiskNodes(seed, {nodes, maxVoters});
  disks.cluster.heal();
  const growthMs = disks.untilVoters(Math.min(nodes, maxVoters ?? nodes));
  const idle = disks.idleMessagesPerSecond();
  let messages = 0;
  for (let i = 0; i < CHANGES; i++) {
    // The messages that tell the voters of the last commit are counted too.
    const before = disks.cluster.sentCount;
    disks.commit();
    disks.advance(1_000);
    messages += disks.cluster.sentCount - before - idle;
  }
  return {
    [`at${nodes}.messagesPerChange`]: messages / CHANGES,
    [`at${nodes}.messagesPerSecond`]: idle,
    [`at${nodes}.growthMs`]: growthMs,
  };
}

async function run({seed}: MeasureOptions): Promise<MeasureResult> {
  const all = (maxVoters: number | undefined): Figures =>
    Object.assign(
      {},
      ...NODE_COUNTS.map(nodes => figuresOf(nodes, maxVoters, seed))
    );
  const ours = all(MAX_VOTERS);
  const perChange = NODE_COUNTS.map(
    nodes => ours[`at${nodes}.messagesPerChange`] ?? Infinity
  );
  const met = Math.max(...perChange) <= MOST_PER_CHANGE;
  return {
    ours,
    baselines: {unlimited: all(undefined)},
    mark: `at most ${MOST_PER_CHANGE} messages per change at any number of nodes`,
    met,
    cause: met ? undefined : 'the leader sends to nodes that do not vote',
  };
}

/** See the head of this file. */
export const logMessages: Measure = {key: 'logMessages', run};
