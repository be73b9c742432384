/**
 * The first boot. Only the instance with the lowest id founds a group, and
 * only after every configured peer has answered that it is empty too: a wiped
 * instance among whole ones must never found a second group beside theirs.
 *
 * The group is named after the founder's incarnation, and an incarnation joins
 * one group for good. Should the founder be wiped while it founds and come
 * back to found again, the quorums of both groups would share an instance,
 * which is in one group only; so at most one of the two ever elects a leader.
 */

import type {CoreState} from './coreState';
import type {ReplyOf, RequestOf} from './messages';
import {startPreVote} from './election';
import {sendHello} from './replication';

/** Incarnations of the empty peers that answered so far. */
export type EmptyPeers = Map<string, string>;

/** Regular work of an empty instance. */
export function tickEmpty(state: CoreState, empty: EmptyPeers): void {
  if (state.now < state.electionDeadline || !maySeekFounding(state)) return;
  state.resetElectionTimer();
  for (const id of state.options.peerIds) sendHello(state, id);
  maybeFound(state, empty);
}

function maySeekFounding(state: CoreState): boolean {
  const {id, peerIds} = state.options;
  const {mayFound, group, incarnation} = state.hard;
  const unbound = group === undefined || group === incarnation;
  return mayFound && unbound && peerIds.every(peerId => id < peerId);
}

/** Takes in a peer's answer. */
export function onHelloForFounder(
  state: CoreState,
  empty: EmptyPeers,
  from: string,
  message: ReplyOf<'hello'>
): void {
  if (message.asker !== state.incarnation) return;
  if (message.empty) empty.set(from, message.incarnation);
  else empty.delete(from);
  maybeFound(state, empty);
}

function maybeFound(state: CoreState, empty: EmptyPeers): void {
  if (!state.isEmpty || !maySeekFounding(state)) return;
  const {id, peerIds} = state.options;
  if (!peerIds.every(peerId => empty.has(peerId))) return;
  const voters = [{id, incarnation: state.incarnation}];
  for (const [peerId, incarnation] of empty)
    voters.push({id: peerId, incarnation});
  state.setHard({term: Math.max(1, state.term), group: state.incarnation});
  const configuration = {voters};
  state.append([
    {index: 1, term: 1, body: {kind: 'configuration', configuration}},
  ]);
  startPreVote(state);
}

/** Tells who lives here. */
export function onHello(
  state: CoreState,
  ticket: number,
  message: RequestOf<'hello'>
): void {
  const {group, incarnation} = state.hard;
  const unbound = group === undefined || group === message.fromIncarnation;
  state.reply(ticket, {
    kind: 'hello',
    incarnation,
    asker: message.fromIncarnation,
    empty: state.isEmpty && unbound && state.hard.mayFound,
  });
}

/**
 * Whether this instance is left over from a founding that failed: it never
 * got an entry from an elected leader of its group.
 */
export function isStranded(state: CoreState): boolean {
  const {group, incarnation} = state.hard;
  const foundedEntries = group === incarnation ? 1 : 0;
  return state.log.lastIndex <= foundedEntries;
}
