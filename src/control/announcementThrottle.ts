/**
 * Decides when a new announcement of a target is published to entries. Pure.
 * Agents announce several times a second. If every announcement were passed on,
 * the traffic to each entry would grow with the number of targets even when
 * nothing relevant changes.
 */

import type {Announcement} from '../core/wire';

/**
 * Minimum time between two published announcements of a target when its load
 * changed enough to affect which target an entry chooses.
 */
const LARGE_CHANGE_INTERVAL_MS = 1_000;
/** Minimum time between two published announcements for a smaller change. */
export const SMALL_CHANGE_INTERVAL_MS = 5_000;
/** A change above this part of the concurrency limit is large. */
const LARGE_CHANGE_RATIO = 0.25;
/** A smaller part of the limit does not affect choices and is not published. */
const SMALL_CHANGE_RATIO = 1 / 16;
/**
 * Smallest published change of the tokens in work: one short completion.
 * Targets are chosen by requests rather than tokens, so a change of tokens is
 * mostly published together with other changes.
 */
const MIN_TOKEN_CHANGE = 256;

/** Whether to publish `next`, `sinceMs` after `published` was published. */
export function shouldPublish(
  published: Announcement,
  next: Announcement,
  sinceMs: number
): boolean {
  if (nonLoadFields(published) !== nonLoadFields(next)) return true;
  // With a limit of 0 a target accepts no work. Entries need to know at once
  // when that starts or ends.
  if (published.limit > 0 !== next.limit > 0) return true;
  if (
    loadChange(published, next) >
    Math.max(1, published.limit * LARGE_CHANGE_RATIO)
  )
    return sinceMs >= LARGE_CHANGE_INTERVAL_MS;
  return sinceMs >= SMALL_CHANGE_INTERVAL_MS && isNoticeable(published, next);
}

/** All fields but the load, the sequence number and the age of the load. */
function nonLoadFields(announcement: Announcement): string {
  const {agentBootId, host, port, pool, availabilityZone} = announcement;
  const {state, temperature, model, modelVersion, group} = announcement;
  const location = [agentBootId, host, port, pool, availabilityZone];
  // Entries only distinguish warm targets from all others.
  const status = [state, temperature === 'warm', model, modelVersion];
  return JSON.stringify([location, status, group?.id, group?.rank]);
}

function isNoticeable(published: Announcement, next: Announcement): boolean {
  const tokens = (next.tokensInWork ?? 0) - (published.tokensInWork ?? 0);
  return (
    loadChange(published, next) >=
      Math.max(1, published.limit * SMALL_CHANGE_RATIO) ||
    Math.abs(tokens) >= MIN_TOKEN_CHANGE ||
    published.slowdown !== next.slowdown ||
    JSON.stringify(published.prefixes) !== JSON.stringify(next.prefixes)
  );
}

/** The larger of the changes of work and of limit, in requests. */
function loadChange(published: Announcement, next: Announcement): number {
  const work = ({outstanding, queued}: Announcement) => outstanding + queued;
  const workChange = Math.abs(work(next) - work(published));
  return Math.max(workChange, Math.abs(next.limit - published.limit));
}
