/** Which of two announcements of one target holds, and what differs. */

import type {Announcement, AnnouncementUpdate} from './wire';

/** Orders announcements of one target: by boot, then by sequence. */
export function isNewer(candidate: Announcement, known: Announcement): boolean {
  if (candidate.agentBootId === known.agentBootId)
    return candidate.seq > known.seq;
  return candidate.agentBootAtMs >= known.agentBootAtMs;
}

/**
 * A boot that began to leave stays leaving: an announcement made before the
 * goodbye but numbered after it by a confused agent must not bring it back.
 */
export function keepLeaving(
  known: Announcement,
  next: Announcement
): Announcement {
  const sameBoot = known.agentBootId === next.agentBootId;
  if (!sameBoot || known.state !== 'leaving') return next;
  return {...next, state: 'leaving'};
}

/** The way from one announcement of a target to the next. */
export function updateOf(
  from: Announcement,
  to: Announcement
): AnnouncementUpdate {
  const keys = Object.keys({...from, ...to}) as (keyof Announcement)[];
  const changedKeys = keys.filter(
    key => JSON.stringify(from[key]) !== JSON.stringify(to[key])
  );
  const set = Object.fromEntries(
    changedKeys.filter(key => to[key] !== undefined).map(key => [key, to[key]])
  );
  const unset = changedKeys.filter(key => to[key] === undefined);
  const {targetId} = to;
  return unset.length === 0 ? {targetId, set} : {targetId, set, unset};
}

/** The announcement that an update leads to. */
export function applyUpdate(
  from: Announcement,
  {set, unset = []}: AnnouncementUpdate
): Announcement {
  const cleared = Object.fromEntries(unset.map(key => [key, undefined]));
  return {...from, ...set, ...cleared};
}
