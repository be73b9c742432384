/** Which nodes with a disk vote in the replicated log, and until when. */

import type {VoterEviction} from '../control/log/logOptions';

/**
 * Silence after which a voter is removed. A voter that is gone must have no vote
 * when the next loss may come, 3 s after its successor has started, and a new
 * leader is elected first if it led. Exceeds twice the time in which a leader
 * without a quorum steps down, so that one lost connection costs no vote.
 */
const REMOVE_SILENT_VOTER_AFTER_MS = 1_500;
/**
 * Most voters, unless the intended losses need more. Three in each of three
 * zones: the loss of a zone and of one more voter leaves a quorum.
 */
const MAX_VOTERS = 9;

/**
 * When a silent voter is removed from a group that bears the loss of
 * `lossesBorne` voters at the same time.
 */
export function voterEviction(lossesBorne: number): VoterEviction {
  return {
    silentMs: REMOVE_SILENT_VOTER_AFTER_MS,
    minVoters: 2 * lossesBorne + 1,
  };
}

/** Most voters of a group that bears the loss of `lossesBorne` of them. */
export function maxVoters(lossesBorne: number): number {
  return Math.max(MAX_VOTERS, voterEviction(lossesBorne).minVoters);
}
