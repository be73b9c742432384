/**
 * Raft's ReadIndex protocol. The commit index is safe to read at once a quorum
 * has replied to a round of messages sent after the read was requested. A
 * leader that has been deposed without noticing does not get that quorum.
 */

import type {CoreState, Leadership} from './coreState';
import {hasCommittedOwnTerm, progressOf, sendHeartbeats} from './replication';

/** Queues a read barrier; barriers share read rounds. */
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

/**
 * Completes the read round if a quorum has confirmed it, and starts the next.
 */
export function confirmReads(state: CoreState): void {
  const {leadership} = state;
  if (leadership === undefined) return;
  // Until its no-op entry is committed, a new leader may not know the latest
  // commit index.
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
