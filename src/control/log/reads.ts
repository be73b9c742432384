/**
 * Linearizable reads: an index is safe to read once a quorum has answered a
 * round of messages that was sent after the read was asked for. A leader that
 * was replaced without knowing gets no such quorum.
 */

import type {CoreState, Leadership} from './coreState';
import {hasCommittedOwnTerm, progressOf, sendHeartbeats} from './replication';

/** Takes in a barrier; many share one round. */
export function onReadBarrier(state: CoreState, ticket: number): void {
  const {leadership} = state;
  if (leadership === undefined) {
    const {leaderId} = state;
    state.emit({kind: 'refused', ticket, leaderId});
    return;
  }
  leadership.waitingTickets = [...leadership.waitingTickets, ticket];
  confirmReads(state);
}

/** Ends the round when a quorum has answered it, and starts the next. */
export function confirmReads(state: CoreState): void {
  const {leadership} = state;
  if (leadership === undefined) return;
  // Until the noop is committed, this leader may not know of all that was.
  if (!hasCommittedOwnTerm(state, leadership)) return;
  if (leadership.roundTickets.length > 0 && isConfirmed(state, leadership))
    finishRound(state, leadership);
  if (leadership.roundTickets.length === 0) startRound(state, leadership);
}

function isConfirmed(state: CoreState, leadership: Leadership): boolean {
  return state.hasQuorum(
    voter =>
      state.isSelf(voter) ||
      (progressOf(leadership, voter)?.ackedRound ?? -1) >= leadership.round
  );
}

function finishRound(state: CoreState, leadership: Leadership): void {
  for (const ticket of leadership.roundTickets)
    state.emit({kind: 'readReady', ticket, index: state.commitIndex});
  leadership.roundTickets = [];
}

function startRound(state: CoreState, leadership: Leadership): void {
  if (leadership.waitingTickets.length === 0) return;
  leadership.roundTickets = leadership.waitingTickets;
  leadership.waitingTickets = [];
  leadership.round++;
  if (isConfirmed(state, leadership)) finishRound(state, leadership);
  else sendHeartbeats(state);
}
