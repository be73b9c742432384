/** The follower's side: takes entries and snapshots from the leader. */

import type {CoreState} from './coreState';
import type {LogEntry} from './entry';
import type {ReplyOf, RequestOf} from './messages';
import {advanceCommit} from './commit';
import {follow} from './election';

/** What only a leader sends. */
export type LeaderRequest = RequestOf<'append'> | RequestOf<'snapshot'>;

/** Handles entries or a heartbeat. */
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
  state.append(firstMissing(state, entries));
  const matchIndex = message.prevIndex + entries.length;
  advanceCommit(state, Math.min(message.commitIndex, matchIndex));
  state.replyStored(
    ticket,
    matchIndex,
    progressReply(state, message, {ok: true, matchIndex})
  );
}

/** Answers an old leader, follows a present one. */
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
  follow(state, message.term, message.from);
  state.lastLeaderContact = state.now;
  return true;
}

/** Written before the first entry, so entries never stand without it. */
export function joinGroup(state: CoreState, group: string): void {
  if (state.hard.group !== group) state.setHard({group});
}

/** Tells the leader how far this instance is. */
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

/** Where the leader should try next when the entry before does not match. */
function mismatchHint(
  state: CoreState,
  message: RequestOf<'append'>
): number | undefined {
  const {prevIndex, prevTerm} = message;
  // What was compacted is committed, so it equals the leader's.
  if (prevIndex <= state.log.baseIndex) return undefined;
  const term = state.log.termAt(prevIndex);
  if (term === undefined) return state.log.lastIndex + 1;
  if (term === prevTerm) return undefined;
  return Math.max(state.commitIndex + 1, state.log.firstOfTerm(prevIndex));
}

/** The entries from the first one on that is not held already. */
function firstMissing(
  state: CoreState,
  entries: readonly LogEntry[]
): readonly LogEntry[] {
  const at = entries.findIndex(
    entry =>
      entry.index > state.log.baseIndex &&
      state.log.termAt(entry.index) !== entry.term
  );
  const first = entries[at];
  if (first === undefined) return [];
  if (first.index <= state.commitIndex)
    throw new Error(`committed entry ${first.index} would be replaced`);
  return entries.slice(at);
}
