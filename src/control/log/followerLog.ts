/** The follower's side of replication: handles appends of the leader. */

import type {CoreState} from './coreState';
import type {LogEntry} from './entry';
import type {ReplyOf, RequestOf} from './messages';
import {advanceCommit} from './commit';
import {becomeFollower} from './election';

/** Requests that only a leader sends. */
export type LeaderRequest = RequestOf<'append'> | RequestOf<'snapshot'>;

/** Handles an append, which may be an empty heartbeat. */
export function onAppend(
  state: CoreState,
  ticket: number,
  message: RequestOf<'append'>
): void {
  if (!acceptLeader(state, ticket, message)) return;
  const hint = mismatchHint(state, message);
  if (hint !== undefined) {
    state.reply(ticket, progressReply(state, message, {ok: false, hint}));
    return;
  }
  const entries = message.entries as readonly LogEntry[];
  if (entries.length > 0) joinGroup(state, message.group);
  state.append(missingEntries(state, entries));
  const matchIndex = message.prevIndex + entries.length;
  advanceCommit(state, Math.min(message.commitIndex, matchIndex));
  state.replyWhenStored(
    ticket,
    matchIndex,
    progressReply(state, message, {ok: true, matchIndex})
  );
}

/**
 * Follows the sender and returns true, unless its term is outdated. Then it
 * rejects the request of the deposed leader and returns false.
 */
export function acceptLeader(
  state: CoreState,
  ticket: number,
  message: LeaderRequest
): boolean {
  if (message.term < state.term) {
    state.reply(ticket, progressReply(state, message, {ok: false, hint: 1}));
    return false;
  }
  if (state.leadership !== undefined && message.term === state.term)
    throw new Error(
      `two leaders in term ${message.term}: ${state.options.id} and ${message.from}`
    );
  becomeFollower(state, message.term, message.from);
  state.lastLeaderContact = state.now;
  return true;
}

/** Persists the group before its first entry, so no entry exists without it. */
export function joinGroup(state: CoreState, group: string): void {
  if (state.hard.group !== group) state.setHardState({group});
}

/** Builds the reply that reports this instance's progress to the leader. */
export function progressReply(
  state: CoreState,
  message: LeaderRequest,
  outcome:
    | {
        readonly ok: true;
        readonly matchIndex: number;
        readonly received?: number;
      }
    | {readonly ok: false; readonly hint: number}
): ReplyOf<'progress'> {
  const {seq, round, sentAt} = message;
  return {
    kind: 'progress',
    incarnation: state.incarnation,
    asker: message.fromIncarnation,
    askedTerm: message.term,
    term: state.term,
    ok: outcome.ok,
    matchIndex: outcome.ok ? outcome.matchIndex : 0,
    hint: outcome.ok ? 0 : outcome.hint,
    received: outcome.ok ? (outcome.received ?? 0) : 0,
    seq,
    round,
    sentAt,
  };
}

/**
 * Index from which the leader should retry if its previous entry does not match
 * this log, or undefined if it matches.
 */
function mismatchHint(
  state: CoreState,
  message: RequestOf<'append'>
): number | undefined {
  const {prevIndex, prevTerm} = message;
  // Compacted entries are committed, so they equal the leader's.
  if (prevIndex <= state.log.baseIndex) return undefined;
  const term = state.log.termAt(prevIndex);
  if (term === undefined) return state.log.lastIndex + 1;
  if (term === prevTerm) return undefined;
  return Math.max(state.commitIndex + 1, state.log.firstIndexOfTerm(prevIndex));
}

/** The entries from the first one that this log lacks or that conflicts. */
function missingEntries(
  state: CoreState,
  entries: readonly LogEntry[]
): readonly LogEntry[] {
  const start = entries.findIndex(
    entry =>
      entry.index > state.log.baseIndex &&
      state.log.termAt(entry.index) !== entry.term
  );
  const first = entries[start];
  if (first === undefined) return [];
  if (first.index <= state.commitIndex)
    throw new Error(
      `an append would replace the committed entry ${first.index}`
    );
  return entries.slice(start);
}
