/** Which of two announcements of one target holds. */

import type {Announcement} from './wire';

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
