/**
 * Automatic membership changes: adding new instances, replacing the incarnation
 * of a wiped instance and removing instances that are gone.
 *
 * A replacement takes two configuration changes: first the old incarnation is
 * removed, then the new one is added. The quorums before and after a change of
 * one member always overlap. If both members were swapped at once, the old and
 * the new quorum could be disjoint.
 */

import type {CoreState, Leadership} from './coreState';
import type {Voter} from './entry';
import {appendAsLeader, hasCommittedOwnTerm} from './replication';

/** Proposes the next membership change if one is due and allowed. */
export function maybeReconfigure(state: CoreState): void {
  const {leadership} = state;
  if (leadership === undefined) return;
  if (!hasCommittedOwnTerm(state, leadership)) return;
  // One change at a time: the previous one must be committed first.
  if (state.log.configuration().index > state.commitIndex) return;
  const voters = nextVoters(state, leadership);
  if (voters === undefined) return;
  appendAsLeader(state, {kind: 'configuration', configuration: {voters}});
}

function nextVoters(
  state: CoreState,
  leadership: Leadership
): Voter[] | undefined {
  for (const [id, progress] of leadership.progress) {
    const {incarnation, matchIndex} = progress;
    if (incarnation === undefined) continue;
    // A learner may vote only once it holds all committed entries.
    if (matchIndex < state.commitIndex) continue;
    const voter = state.voters.find(voter => voter.id === id);
    if (voter?.incarnation === incarnation) continue;
    if (voter === undefined) return [...state.voters, {id, incarnation}];
    return state.voters.filter(other => other.id !== id);
  }
  return withoutSilentVoter(state, leadership);
}

/**
 * The voters without one that has been silent for too long, if there is one. A
 * machine that was replaced at another address never replies again, and as a
 * voter it would permanently use up one of the failures that the quorum
 * tolerates. A voter that was only partitioned returns as a learner and votes
 * again once it has caught up.
 */
function withoutSilentVoter(
  state: CoreState,
  leadership: Leadership
): Voter[] | undefined {
  const {voterEviction} = state.options;
  if (voterEviction === undefined) return undefined;
  if (state.voters.length <= voterEviction.minVoters) return undefined;
  const silent = state.voters.find(voter => {
    if (state.isSelf(voter)) return false;
    const lastReplyAt = leadership.progress.get(voter.id)?.lastReplyAt ?? 0;
    return state.now - lastReplyAt >= voterEviction.silentMs;
  });
  if (silent === undefined) return undefined;
  return state.voters.filter(voter => voter !== silent);
}
