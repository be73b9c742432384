/**
 * When callers of a service that does not work at all are to come back.
 *
 * Pattern: a rank of a group is lost, and with it the whole group,
 * until the rank is back and the group has formed anew: two to four seconds.
 * Callers that came back within half a second came into the same outage and
 * were turned away for good, all that arrived in it. They wait no longer than
 * a third of the time that they have, 2.6 s of 8 s; those told to come back
 * near the end of that find the group working again.
 */

/** Earliest and latest return; spread, so that they do not come as one. */
const MIN_RETRY_MS = 1_700;
const MAX_RETRY_MS = 2_600;
/** Where callers have less time, they come back in the last part of a third. */
const MAX_RATIO = 1 / 3;

/** Time until the caller is to come back; `random` is from 0 to below 1. */
export function outageRetryMs(
  remainingMs: number,
  random: () => number
): number {
  const latestMs = Math.min(MAX_RETRY_MS, Math.max(0, remainingMs) * MAX_RATIO);
  const earliestMs = (latestMs * MIN_RETRY_MS) / MAX_RETRY_MS;
  return earliestMs + (latestMs - earliestMs) * random();
}

/** A node that has just started gets the site with its first report to a leader. */
const NO_SITE_RETRY_MS = 500;

/**
 * The same for a node that has no site yet. Without a leader all of control is
 * out, as after a loss of all power, and an early return finds nothing either.
 */
export function noSiteRetryMs(
  knowsLeader: boolean,
  remainingMs: number,
  random: () => number
): number {
  return knowsLeader ? NO_SITE_RETRY_MS : outageRetryMs(remainingMs, random);
}
