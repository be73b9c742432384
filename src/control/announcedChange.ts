/**
 * When entries have to hear of a new announcement. Pure. Agents announce
 * several times a second; passed on as they come, the announcements of N
 * targets would cost every entry bytes in proportion to N, with nothing new.
 */

import type {Announcement} from '../core/wire';

/** A change of load that could turn a choice waits no longer than this. */
const LARGE_CHANGE_INTERVAL_MS = 1_000;
/** Any other change of load waits no longer than this. */
export const SMALL_CHANGE_INTERVAL_MS = 5_000;
/** A large change, in parts of what the target may run at once. */
const LARGE_CHANGE_RATIO = 0.25;
/** Less than this changes no choice that matters, and is not told at all. */
const SMALL_CHANGE_RATIO = 1 / 16;
/**
 * About a short answer. The choice reads requests, not tokens, so these are
 * mostly told beside other changes.
 */
const MIN_TOKEN_CHANGE = 256;

/** Whether `next` must be passed on, `sinceMs` after `told` was. */
export function shouldPublish(
  published: Announcement,
  next: Announcement,
  sinceMs: number
): boolean {
  if (nonLoadFields(published) !== nonLoadFields(next)) return true;
  // At 0 a target takes nothing: either way, entries must know at once.
  if (published.limit > 0 !== next.limit > 0) return true;
  if (
    loadChange(published, next) >
    Math.max(1, published.limit * LARGE_CHANGE_RATIO)
  )
    return sinceMs >= LARGE_CHANGE_INTERVAL_MS;
  return sinceMs >= SMALL_CHANGE_INTERVAL_MS && isNoticeable(published, next);
}

/** All but the load, the sequence number and the age of the load report. */
function nonLoadFields(announcement: Announcement): string {
  const {agentBootId, host, port, pool, availabilityZone} = announcement;
  const {state, temperature, model, modelVersion, group} = announcement;
  const location = [agentBootId, host, port, pool, availabilityZone];
  // Entries tell a warm target from any other, and no more.
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

/** By how many requests the work or the limit moved. */
function loadChange(published: Announcement, next: Announcement): number {
  const work = ({outstanding, queued}: Announcement) => outstanding + queued;
  const workChange = Math.abs(work(next) - work(published));
  return Math.max(workChange, Math.abs(next.limit - published.limit));
}
