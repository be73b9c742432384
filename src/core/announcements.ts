/** Ordering of the announcements of one target, and updates between them. */

import type {Announcement, AnnouncementUpdate} from './wire';

/**
 * Whether `candidate` replaces `known`: by sequence number within one boot of
 * the agent, by start time between boots.
 */
export function isNewer(candidate: Announcement, known: Announcement): boolean {
  if (candidate.agentBootId === known.agentBootId)
    return candidate.seq > known.seq;
  return candidate.agentBootAtMs >= known.agentBootAtMs;
}

/**
 * Keeps a boot that is leaving in that state. An announcement that was built
 * before the agent began to leave, but numbered later by a faulty agent, must
 * not bring the target back.
 */
export function keepLeaving(
  known: Announcement,
  next: Announcement
): Announcement {
  const sameBoot = known.agentBootId === next.agentBootId;
  if (!sameBoot || known.state !== 'leaving') return next;
  return {...next, state: 'leaving'};
}

/** Returns the fields that changed between two announcements of a target. */
export function diffAnnouncements(
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

/** Returns the announcement with an update applied. */
export function applyUpdate(
  from: Announcement,
  {set, unset = []}: AnnouncementUpdate
): Announcement {
  const cleared = Object.fromEntries(unset.map(key => [key, undefined]));
  return {...from, ...set, ...cleared};
}
