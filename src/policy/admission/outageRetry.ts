/**
 * Retry-After of callers of a service that is entirely out.
 *
 * When a rank is lost, its whole group is out until the rank is back and the group
 * has formed again. Callers that retry sooner meet the same outage and are refused for
 * good. They wait at most a third of their remaining time; near the end of that, the
 * group works again.
 */

/** Range of Retry-After, spread so that callers do not all retry at once. */
const MIN_OUTAGE_RETRY_MS = 1_700;
const MAX_OUTAGE_RETRY_MS = 2_600;
/** Maximum Retry-After as a ratio of the remaining time; scales the range down. */
const MAX_WAIT_RATIO = 1 / 3;

/** Retry-After in milliseconds; `random` returns 0 up to but excluding 1. */
export function outageRetryMs(
  remainingMs: number,
  random: () => number
): number {
  const latestMs = Math.min(
    MAX_OUTAGE_RETRY_MS,
    Math.max(0, remainingMs) * MAX_WAIT_RATIO
  );
  const earliestMs = (latestMs * MIN_OUTAGE_RETRY_MS) / MAX_OUTAGE_RETRY_MS;
  return earliestMs + (latestMs - earliestMs) * random();
}

/** A node that knows a leader receives the site with its first report to it. */
const NO_SITE_RETRY_MS = 500;

/**
 * Retry-After of a node that has no site yet. Without a leader the whole control
 * plane is out, as after a power loss, and an early retry would fail as well.
 */
export function noSiteRetryMs(
  knowsLeader: boolean,
  remainingMs: number,
  random: () => number
): number {
  return knowsLeader ? NO_SITE_RETRY_MS : outageRetryMs(remainingMs, random);
}
