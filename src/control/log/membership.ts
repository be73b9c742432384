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
import {reachablePool, updateAudience} from './audience';
import {
  doAllVotersAnswer,
  hasMajorityContact,
  isLimited,
  isSilent,
} from './memberContact';
import {reportVoterChange} from './voterChange';
import {surplusVoter} from './voterChoice';
import {
  appendAsLeader,
  hasCommittedOwnTerm,
  isQuorumActive,
} from './replication';

/** Proposes the next membership change if one is due and allowed. */
export function maybeReconfigure(state: CoreState): void {
  const {leadership} = state;
  if (leadership === undefined) return;
  if (!hasCommittedOwnTerm(state, leadership)) return;
  // One change at a time: the previous one must be committed first.
  if (state.log.configuration().index > state.commitIndex) return;
  if (!hasMajorityContact(state, leadership)) return;
  // An entry that only this leader holds and that cannot be committed would make
  // its log the longest, so that it denied all votes.
  const {electionMinMs} = state.options.timing;
  if (!isQuorumActive(state, leadership, electionMinMs)) return;
  const voters = nextVoters(state, leadership);
  if (voters === undefined) return;
  reportVoterChange(state, leadership, voters);
  for (const voter of state.voters)
    if (!voters.some(({id}) => id === voter.id))
      noteRemoval(state, leadership, voter);
  const configuration = {voters};
  appendAsLeader(state, {kind: 'configuration', configuration});
  updateAudience(state, leadership);
}

/** The voter has to learn of it; a silent one should not be the next candidate. */
function noteRemoval(
  state: CoreState,
  leadership: Leadership,
  voter: Voter
): void {
  leadership.removedAt.set(voter.id, state.log.lastIndex + 1);
  if (isSilent(state, leadership, voter))
    leadership.passedOverAt.set(voter.id, state.now);
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
    if (voter === undefined && !mayBecomeVoter(state, leadership, id)) continue;
    if (voter === undefined) return [...state.voters, {id, incarnation}];
    return state.voters.filter(other => other.id !== id);
  }
  return (
    withoutSilentVoter(state, leadership) ??
    withoutSurplusVoter(state, leadership)
  );
}

function mayBecomeVoter(
  state: CoreState,
  leadership: Leadership,
  id: string
): boolean {
  return !isLimited(state, leadership) || leadership.candidate === id;
}

/**
 * The voters without one of those that exceed the limit. A group of a version
 * without a limit may have many. While one does not answer, all others are kept:
 * each may be needed for the quorum.
 */
function withoutSurplusVoter(
  state: CoreState,
  leadership: Leadership
): Voter[] | undefined {
  if (!isLimited(state, leadership)) return undefined;
  if (!doAllVotersAnswer(state, leadership)) return undefined;
  // The additions count on the same instances; otherwise each would undo the other.
  const pool = reachablePool(state, leadership);
  const surplus = surplusVoter(pool, state.options.id);
  if (surplus === undefined) return undefined;
  return state.voters.filter(({id}) => id !== surplus);
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
  const {minVoters, silentMs} = voterEviction;
  if (state.voters.length <= minVoters) return undefined;
  // The smaller side of a partition must not move the votes to itself before it
  // notices that it lost contact with the rest.
  if (!hasMajorityContact(state, leadership, silentMs)) return undefined;
  const silent =
    state.voters.find(voter => hasLostDisk(leadership, voter)) ??
    state.voters.find(voter => isSilent(state, leadership, voter));
  if (silent === undefined) return undefined;
  return state.voters.filter(voter => voter !== silent);
}

/** Whether the voter's machine lost its disk and runs another incarnation now. */
function hasLostDisk(
  {progress}: Leadership,
  {id, incarnation}: Voter
): boolean {
  const current = progress.get(id)?.incarnation;
  return current !== undefined && current !== incarnation;
}
