/**
 * The follower's side of a snapshot transfer, which is used when the leader has
 * compacted entries that this log lacks.
 */

import type {CoreState} from './coreState';
import type {LogSnapshot} from './entry';
import type {RequestOf} from './messages';
import {advanceCommit} from './commit';
import {acceptLeader, joinGroup, progressReply} from './followerLog';

/** Handles one chunk. The last chunk installs the snapshot. */
export function onSnapshot(
  state: CoreState,
  ticket: number,
  message: RequestOf<'snapshot'>
): void {
  if (!acceptLeader(state, ticket, message)) return;
  const {index} = message.snapshot;
  if (index > state.commitIndex) {
    const data = appendChunk(state, message);
    if (data === undefined) {
      replyPartial(state, ticket, message);
      return;
    }
    joinGroup(state, message.group);
    install(state, {...message.snapshot, data});
  }
  state.incoming = undefined;
  const outcome = {ok: true as const, matchIndex: index};
  state.replyWhenStored(ticket, index, progressReply(state, message, outcome));
}

/**
 * Adds a chunk at the expected offset and ignores any other. Returns the whole
 * data after the last chunk, and undefined before.
 */
function appendChunk(
  state: CoreState,
  message: RequestOf<'snapshot'>
): string | undefined {
  const {index, term} = message.snapshot;
  const key = `${message.fromIncarnation} ${message.term} ${index} ${term}`;
  const received = state.incoming?.key === key ? state.incoming.data : '';
  const fits = message.offset === received.length;
  const data = fits ? received + message.chunk : received;
  state.incoming = {key, data};
  return fits && message.done ? data : undefined;
}

function replyPartial(
  state: CoreState,
  ticket: number,
  message: RequestOf<'snapshot'>
): void {
  const received = state.incoming?.data.length ?? 0;
  const outcome = {ok: true as const, matchIndex: 0, received};
  state.reply(ticket, progressReply(state, message, outcome));
}

function install(state: CoreState, snapshot: LogSnapshot): void {
  const {index, term} = snapshot;
  if (state.log.termAt(index) === term) {
    advanceCommit(state, index);
    return;
  }
  state.log.reset(snapshot);
  state.commitIndex = index;
  state.emit({kind: 'restore', snapshot});
  const seq = state.persist({
    kind: 'snapshot',
    snapshot,
    keepAfter: {index, term},
    resetLog: true,
  });
  state.trackLogReset(seq);
}
