/** Finds a target that is not in this entry's subset. */

import {isNewer} from '../core/announcements';
import {PeerError} from '../core/errors';
import type {Announcement} from '../core/wire';
import type {LocateAnswer} from '../rpc/messages';

/** What the control instances know of a target, all replies taken together. */
export type LocateResult =
  | {readonly kind: 'found'; readonly announcement: Announcement}
  /** A majority replied, and no reply lists the target. */
  | {readonly kind: 'gone'}
  /** No reply lists the target, and too few replied to call it gone. */
  | {readonly kind: 'unknown'};

/**
 * Queries every control instance. Once a target is gone, the claims that it
 * was working on are settled as unknown, which is final. The report of a
 * single instance is not enough for that: one that has just started has not
 * yet received any announcement.
 */
export async function locateTarget(
  instances: readonly (() => Promise<LocateAnswer>)[]
): Promise<LocateResult> {
  const answers = await Promise.all(
    instances.map(locate =>
      locate().catch((err: unknown) => {
        if (err instanceof PeerError) return undefined;
        throw err;
      })
    )
  );
  const answered = answers.filter(answer => answer !== undefined);
  const newest = answered
    .map(answer => answer.announcement)
    .filter(announcement => announcement !== undefined)
    .reduce<Announcement | undefined>(
      (best, next) => (best === undefined || isNewer(next, best) ? next : best),
      undefined
    );
  if (newest !== undefined) return {kind: 'found', announcement: newest};
  const isMajority = 2 * answered.length > instances.length;
  return {kind: isMajority ? 'gone' : 'unknown'};
}
