/** Which requests may be retried, and when an attempt is given up for a retry. */

import type {SiteRoute} from '../site/site';

/**
 * An idempotent request without a response after this many times its latency
 * target is retried elsewhere: the target hangs, or its response was lost.
 */
const HEAD_TIMEOUT_FACTOR = 3;

/** The remaining time; less for an idempotent request that may be retried. */
export function headTimeoutMs(
  route: SiteRoute,
  sendCount: number,
  remainingMs: number
): number {
  const isLast = sendCount + 1 >= route.maxAttempts;
  if (route.repeat !== 'idempotent' || isLast || route.latencyTargetMs === 0)
    return remainingMs;
  return Math.min(remainingMs, route.latencyTargetMs * HEAD_TIMEOUT_FACTOR);
}

/** Whether a request may be retried after an attempt that may have run. */
export function isRetrySafe({repeat, resumable}: SiteRoute): boolean {
  return repeat === 'idempotent' || (repeat === 'stream' && resumable);
}
