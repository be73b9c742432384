/** Finds a target that this entry does not follow. */

import {isNewer} from '../core/announcements';
import {PeerError} from '../core/errors';
import type {Announcement} from '../core/wire';
import type {LocateAnswer} from '../rpc/messages';

/** What the control instances know of a target. */
export type Located =
  | {readonly kind: 'found'; readonly announcement: Announcement}
  /** A majority answered, and none that did hears of it. */
  | {readonly kind: 'gone'}
  /** Too few answered to say. */
  | {readonly kind: 'unknown'};

/**
 * Asks every control instance. What became of a claim is settled for good as
 * unknown once its target is gone, so one instance's silence must not pass for
 * that: an instance that has just started has heard of nothing yet.
 */
export async function locateTarget(
  instances: readonly (() => Promise<LocateAnswer>)[]
): Promise<Located> {
  const answers = await Promise.all(
    instances.map(ask =>
      ask().catch((err: unknown) => {
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
      (best, one) => (best === undefined || isNewer(one, best) ? one : best),
      undefined
    );
  if (newest !== undefined) return {kind: 'found', announcement: newest};
  const isMajority = 2 * answered.length > instances.length;
  return {kind: isMajority ? 'gone' : 'unknown'};
}
