/**
 * When entries have to hear of a new announcement. Pure. Agents announce
 * several times a second; passed on as they come, the announcements of N
 * targets would cost every entry bytes in proportion to N, with nothing new.
 */

import type {Announcement} from '../core/wire';

/** A change of load that could turn a choice waits no longer than this. */
const LARGE_CHANGE_MS = 1_000;
/** Any other change of load waits no longer than this. */
export const LOAD_CHANGE_MS = 5_000;
/** A large change, in parts of what the target may run at once. */
const LARGE_PART = 0.25;

/** Whether `next` must be passed on, `sinceMs` after `told` was. */
export function mustTell(
  told: Announcement,
  next: Announcement,
  sinceMs: number
): boolean {
  if (identityOf(told) !== identityOf(next)) return true;
  // At 0 a target takes nothing: either way, entries must know at once.
  if (told.limit > 0 !== next.limit > 0) return true;
  if (isLargeChange(told, next)) return sinceMs >= LARGE_CHANGE_MS;
  return sinceMs >= LOAD_CHANGE_MS && loadOf(told) !== loadOf(next);
}

/** All but the load, the sequence number and the age of the load report. */
function identityOf(announcement: Announcement): string {
  const {agentBootId, host, port, pool, availabilityZone} = announcement;
  const {state, temperature, model, modelVersion, group} = announcement;
  const place = [agentBootId, host, port, pool, availabilityZone];
  const kind = [state, temperature, model, modelVersion];
  return JSON.stringify([place, kind, group?.id, group?.rank]);
}

function loadOf(announcement: Announcement): string {
  const {limit, outstanding, queued, tokensInWork} = announcement;
  const {prefixes, slowdown} = announcement;
  const work = [limit, outstanding, queued, tokensInWork];
  return JSON.stringify([work, prefixes, slowdown]);
}

function isLargeChange(told: Announcement, next: Announcement): boolean {
  const least = Math.max(1, told.limit * LARGE_PART);
  const work = ({outstanding, queued}: Announcement) => outstanding + queued;
  const byWork = Math.abs(work(next) - work(told));
  const byLimit = Math.abs(next.limit - told.limit);
  return byWork > least || byLimit > least;
}
