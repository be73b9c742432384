/** Takes the leader's state when this log ends before the leader's begins. */

import type {CoreState} from './coreState';
import type {LogSnapshot} from './entry';
import type {RequestOf} from './messages';
import {advanceCommit} from './commit';
import {acceptLeader, joinGroup, progressReply} from './followerLog';

/** Handles one chunk; the last one puts the snapshot in place. */
export function onSnapshot(
  state: CoreState,
  ticket: number,
  message: RequestOf<'snapshot'>
): void {
  if (!acceptLeader(state, ticket, message)) return;
  const {index} = message.snapshot;
  if (index > state.commitIndex) {
    const data = takeChunk(state, message);
    if (data === undefined) {
      answerPart(state, ticket, message);
      return;
    }
    joinGroup(state, message.group);
    install(state, {...message.snapshot, data});
  }
  state.incoming = undefined;
  const outcome = {ok: true as const, matchIndex: index};
  state.replyStored(ticket, index, progressReply(state, message, outcome));
}

/** The whole data once the last chunk fits, or undefined before. */
function takeChunk(
  state: CoreState,
  message: RequestOf<'snapshot'>
): string | undefined {
  const {index, term} = message.snapshot;
  const key = `${message.fromIncarnation} ${message.term} ${index} ${term}`;
  const held = state.incoming?.key === key ? state.incoming.data : '';
  const fits = message.offset === held.length;
  const data = fits ? held + message.chunk : held;
  state.incoming = {key, data};
  return fits && message.done ? data : undefined;
}

function answerPart(
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
  state.markReset(seq);
}
