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
/** Less than this changes no choice that matters, and is not told at all. */
const SMALL_PART = 1 / 16;
/**
 * About a short answer. The choice reads requests, not tokens, so these are
 * mostly told beside other changes.
 */
const TOKEN_STEP = 256;

/** Whether `next` must be passed on, `sinceMs` after `told` was. */
export function mustTell(
  told: Announcement,
  next: Announcement,
  sinceMs: number
): boolean {
  if (identityOf(told) !== identityOf(next)) return true;
  // At 0 a target takes nothing: either way, entries must know at once.
  if (told.limit > 0 !== next.limit > 0) return true;
  if (moved(told, next) > Math.max(1, told.limit * LARGE_PART))
    return sinceMs >= LARGE_CHANGE_MS;
  return sinceMs >= LOAD_CHANGE_MS && isSmallChange(told, next);
}

/** All but the load, the sequence number and the age of the load report. */
function identityOf(announcement: Announcement): string {
  const {agentBootId, host, port, pool, availabilityZone} = announcement;
  const {state, temperature, model, modelVersion, group} = announcement;
  const place = [agentBootId, host, port, pool, availabilityZone];
  // Entries tell a warm target from any other, and no more.
  const kind = [state, temperature === 'warm', model, modelVersion];
  return JSON.stringify([place, kind, group?.id, group?.rank]);
}

function isSmallChange(told: Announcement, next: Announcement): boolean {
  const tokens = (next.tokensInWork ?? 0) - (told.tokensInWork ?? 0);
  return (
    moved(told, next) >= Math.max(1, told.limit * SMALL_PART) ||
    Math.abs(tokens) >= TOKEN_STEP ||
    told.slowdown !== next.slowdown ||
    JSON.stringify(told.prefixes) !== JSON.stringify(next.prefixes)
  );
}

/** By how many requests the work or the limit moved. */
function moved(told: Announcement, next: Announcement): number {
  const work = ({outstanding, queued}: Announcement) => outstanding + queued;
  const byWork = Math.abs(work(next) - work(told));
  return Math.max(byWork, Math.abs(next.limit - told.limit));
}
