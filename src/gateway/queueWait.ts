/** How long a request may wait before it is sent to a target. */

import type {SiteRoute} from '../site/site';

/**
 * Part of the latency target that a request may be queued for. The rest must
 * cover reading the prompt, the first pass and one slow pass. A longer queue
 * would carry the load of a burst over into the following seconds.
 */
const MAX_QUEUE_WAIT_RATIO = 0.4;
/** For routes without a latency target: a delay that a person hardly notices. */
const DEFAULT_LATENCY_TARGET_MS = 500;

/** Longest wait of a request of this route, milliseconds. */
export function maxQueueWaitMs({latencyTargetMs}: SiteRoute): number {
  return (latencyTargetMs || DEFAULT_LATENCY_TARGET_MS) * MAX_QUEUE_WAIT_RATIO;
}
