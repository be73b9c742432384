/**
 * Who votes: founding the first configuration, and replacing the incarnation
 * of a wiped instance by the new one, without an operator.
 *
 * A replacement takes two changes of one member each, the old one out and the
 * new one in, because quorums before and after a change of one member always
 * overlap; a swap in one step could let the two quorums miss each other.
 */

import type {CoreState, Leadership} from './coreState';
import type {Voter} from './entry';
import {appendAsLeader, hasCommittedOwnTerm} from './replication';

/** Starts the next change that is due and allowed, if any. */
export function maybeReconfigure(state: CoreState): void {
  const {leadership} = state;
  if (leadership === undefined) return;
  if (!hasCommittedOwnTerm(state, leadership)) return;
  // One change at a time: the last one must be committed.
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
    // A newcomer counts only once it holds all that was accepted so far.
    if (matchIndex < state.commitIndex) continue;
    const voter = state.voters.find(voter => voter.id === id);
    if (voter?.incarnation === incarnation) continue;
    if (voter === undefined) return [...state.voters, {id, incarnation}];
    return state.voters.filter(other => other.id !== id);
  }
  return withoutSilent(state, leadership);
}

/**
 * A machine that was replaced at another address never answers again. Left
 * among the voters, each such machine would eat up one of the losses that the
 * quorum bears. One that was only cut off comes back as a learner and gets its
 * vote again once it has caught up.
 */
function withoutSilent(
  state: CoreState,
  leadership: Leadership
): Voter[] | undefined {
  const {forget} = state.options;
  if (forget === undefined) return undefined;
  if (state.voters.length <= forget.keepVoters) return undefined;
  const silent = state.voters.find(voter => {
    if (state.isSelf(voter)) return false;
    const heardAt = leadership.progress.get(voter.id)?.heardAt ?? 0;
    return state.now - heardAt >= forget.afterMs;
  });
  if (silent === undefined) return undefined;
  return state.voters.filter(voter => voter !== silent);
}
