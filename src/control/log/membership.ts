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
  return undefined;
}
