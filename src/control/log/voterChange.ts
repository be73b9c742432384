/** Why the leader changes the voters, for the log lines of operators. */

import type {CoreState, Leadership} from './coreState';
import type {Voter} from './entry';
import {isSilent} from './memberContact';

/** A voter that is added or removed, and the reason. */
export type VoterChange =
  | {readonly kind: 'added'; readonly id: string; readonly reason: 'new'}
  | {
      readonly kind: 'removed';
      readonly id: string;
      readonly reason: 'wiped' | 'silent' | 'surplus';
      /** Time since the last reply of the voter, milliseconds. */
      readonly silentMs: number;
    };

/** Emits the difference between the current voters and the next ones. */
export function reportVoterChange(
  state: CoreState,
  leadership: Leadership,
  next: readonly Voter[]
): void {
  const has = (voters: readonly Voter[], {id}: Voter) =>
    voters.some(voter => voter.id === id);
  for (const voter of state.voters)
    if (!has(next, voter))
      state.emit({
        kind: 'votersChanged',
        change: removalOf(state, leadership, voter),
      });
  for (const voter of next)
    if (!has(state.voters, voter))
      state.emit({
        kind: 'votersChanged',
        change: {kind: 'added', id: voter.id, reason: 'new'},
      });
}

function removalOf(
  state: CoreState,
  leadership: Leadership,
  voter: Voter
): VoterChange {
  const {id} = voter;
  const {incarnation, lastReplyAt = state.now} =
    leadership.progress.get(id) ?? {};
  const silentMs = state.now - lastReplyAt;
  const isWiped =
    incarnation !== undefined && incarnation !== voter.incarnation;
  if (isWiped) return {kind: 'removed', id, reason: 'wiped', silentMs};
  const reason = isSilent(state, leadership, voter) ? 'silent' : 'surplus';
  return {kind: 'removed', id, reason, silentMs};
}
