/** The leader's side: sends entries and heartbeats, counts synced copies. */

import type {CoreState, Leadership, PeerProgress} from './coreState';
import type {EntryBody, LogEntry, Voter} from './entry';
import {quorumOf} from './entry';
import type {ReplyOf, RequestOf} from './messages';
import {maybeReconfigure} from './membership';
import {advanceCommit} from './commit';
import {confirmReads} from './reads';
import {address, follow} from './election';
import {entryChars} from './entrySize';

type WireConfiguration = RequestOf<'snapshot'>['snapshot']['configuration'];

/** Takes the lead: puts a noop in the log and tells everyone. */
export function startLeading(state: CoreState): void {
  const progress = new Map<string, PeerProgress>();
  for (const id of state.options.peerIds())
    progress.set(id, freshProgress(state, voterOf(state, id)?.incarnation));
  for (const {id} of state.voters)
    if (!progress.has(id) && id !== state.options.id)
      progress.set(id, freshProgress(state, voterOf(state, id)?.incarnation));
  state.leadership = {
    progress,
    noopIndex: state.log.lastIndex + 1,
    heartbeatAt: state.now + state.options.timing.heartbeatMs,
    round: 0,
    roundTickets: [],
    waitingTickets: [],
  };
  state.emit({kind: 'elected', term: state.term});
  appendAsLeader(state, {kind: 'command', command: {kind: 'noop'}});
}

function voterOf(state: CoreState, id: string): Voter | undefined {
  return state.voters.find(voter => voter.id === id);
}

function freshProgress(
  state: CoreState,
  incarnation: string | undefined
): PeerProgress {
  return {
    incarnation,
    nextIndex: state.log.lastIndex + 1,
    matchIndex: 0,
    inFlightSince: 0,
    heardAt: state.now,
    ackedSentAt: state.now,
    ackedRound: -1,
  };
}

/** Adds an entry of the present term and sends it out; returns its index. */
export function appendAsLeader(state: CoreState, body: EntryBody): number {
  const index = state.log.lastIndex + 1;
  state.append([{index, term: state.term, body}]);
  const term = state.term;
  state.whenAllSynced(() => {
    if (state.leadership !== undefined && state.term === term)
      commitByQuorum(state, state.leadership);
  });
  replicateAll(state);
  return index;
}

function replicateAll(state: CoreState): void {
  const {leadership} = state;
  if (leadership === undefined) return;
  for (const id of leadership.progress.keys()) replicate(state, id);
}

/**
 * Sends what the peer lacks, one request at a time: what is proposed while
 * one is on its way goes out together in the next.
 */
function replicate(state: CoreState, id: string): void {
  const progress = state.leadership?.progress.get(id);
  if (progress?.incarnation === undefined) return;
  if (progress.inFlight !== undefined) return;
  const {lastIndex} = state.log;
  if (progress.matchIndex >= lastIndex) return;
  // Of a newcomer nothing is known yet: the last entry finds out.
  progress.nextIndex = Math.min(progress.nextIndex, lastIndex);
  progress.inFlightSince = state.now;
  if (progress.nextIndex <= state.log.baseIndex) {
    progress.inFlight = sendSnapshot(state, id, progress);
    return;
  }
  progress.transfer = undefined;
  const prevIndex = progress.nextIndex - 1;
  progress.inFlight = sendAppend(state, id, progress, prevIndex, true);
}

function sendAppend(
  state: CoreState,
  id: string,
  progress: PeerProgress,
  prevIndex: number,
  withEntries: boolean
): number {
  const message: RequestOf<'append'> = {
    kind: 'append',
    ...leaderFields(state, progress.incarnation ?? ''),
    prevIndex,
    prevTerm: state.log.termAt(prevIndex) ?? 0,
    entries: (withEntries
      ? nextBatch(state, prevIndex)
      : []) as RequestOf<'append'>['entries'],
    commitIndex: state.commitIndex,
  };
  state.emit({kind: 'send', to: id, message});
  return message.seq;
}

/** Entries after `prevIndex`: at least one, and no more than the limits. */
function nextBatch(state: CoreState, prevIndex: number): readonly LogEntry[] {
  const {batchEntries, batchChars} = state.options;
  const entries = state.log.slice(prevIndex + 1, batchEntries);
  let chars = 0;
  const over = entries.findIndex(entry => {
    chars += entryChars(entry);
    return chars > batchChars;
  });
  return over < 0 ? entries : entries.slice(0, Math.max(1, over));
}

/** Sends the next chunk; a snapshot once begun is sent to its end. */
function sendSnapshot(
  state: CoreState,
  id: string,
  progress: PeerProgress
): number | undefined {
  const snapshot = progress.transfer?.snapshot ?? state.log.snapshot;
  if (snapshot === undefined) return undefined;
  const offset = progress.transfer?.offset ?? 0;
  progress.transfer = {snapshot, offset};
  const end = offset + state.options.chunkChars;
  const {index, term, configuration, data} = snapshot;
  const message: RequestOf<'snapshot'> = {
    kind: 'snapshot',
    ...leaderFields(state, progress.incarnation ?? ''),
    snapshot: {index, term, configuration: configuration as WireConfiguration},
    offset,
    chunk: data.slice(offset, end),
    done: end >= data.length,
  };
  state.emit({kind: 'send', to: id, message});
  return message.seq;
}

function leaderFields(state: CoreState, toIncarnation: string) {
  return {
    ...address(state, toIncarnation),
    seq: ++state.requestSeq,
    round: state.leadership?.round ?? 0,
    sentAt: state.now,
  };
}

/**
 * Tells everyone that this leader is here. A heartbeat rests on what is known
 * to match, so it is never refused and needs no wait for a large append.
 */
export function sendHeartbeats(state: CoreState): void {
  const {leadership} = state;
  if (leadership === undefined) return;
  leadership.heartbeatAt = state.now + state.options.timing.heartbeatMs;
  takeInNewPeers(state, leadership);
  for (const [id, progress] of leadership.progress) {
    if (progress.incarnation === undefined) sendHello(state, id);
    else sendHeartbeat(state, id, progress);
  }
}

/** Instances that became known since this one leads are to join too. */
function takeInNewPeers(state: CoreState, leadership: Leadership): void {
  for (const id of state.options.peerIds())
    if (!leadership.progress.has(id) && id !== state.options.id)
      leadership.progress.set(id, freshProgress(state, undefined));
}

function sendHeartbeat(
  state: CoreState,
  id: string,
  progress: PeerProgress
): void {
  const known = progress.matchIndex >= state.log.baseIndex;
  sendAppend(state, id, progress, known ? progress.matchIndex : 0, false);
}

/** Asks who lives at an id. */
export function sendHello(state: CoreState, id: string, round = 0): void {
  state.emit({
    kind: 'send',
    to: id,
    message: {
      kind: 'hello',
      from: state.options.id,
      fromIncarnation: state.incarnation,
      round,
    },
  });
}

/** Regular work of a leader. */
export function tickLeader(state: CoreState, leadership: Leadership): void {
  if (!hearsQuorum(state, leadership)) {
    follow(state, state.term, undefined);
    return;
  }
  for (const [id, progress] of leadership.progress) {
    const age = state.now - progress.inFlightSince;
    if (age >= state.options.timing.resendMs) progress.inFlight = undefined;
    if (state.now >= leadership.heartbeatAt) replicate(state, id);
  }
  if (state.now >= leadership.heartbeatAt) sendHeartbeats(state);
}

/**
 * Whether a quorum answered messages sent within the last while. It counts
 * when a message was sent, not when its answer came: a paused leader finds
 * old answers waiting, which prove nothing about now.
 */
function hearsQuorum(state: CoreState, leadership: Leadership): boolean {
  const since = state.now - state.options.timing.checkQuorumMs;
  return state.hasQuorum(
    voter =>
      state.isSelf(voter) ||
      (progressOf(leadership, voter)?.ackedSentAt ?? -Infinity) > since
  );
}

/** Progress of that very incarnation, if it is the one that lives there. */
export function progressOf(
  leadership: Leadership,
  voter: Voter
): PeerProgress | undefined {
  const progress = leadership.progress.get(voter.id);
  return progress?.incarnation === voter.incarnation ? progress : undefined;
}

/** Takes in how far a peer is. */
export function onProgress(
  state: CoreState,
  from: string,
  message: ReplyOf<'progress'>
): void {
  if (message.term > state.term) {
    follow(state, message.term, undefined);
    return;
  }
  const {leadership} = state;
  const progress = leadership?.progress.get(from);
  if (leadership === undefined || progress === undefined) return;
  // An answer to an earlier term of ours would confirm a read round, or show a
  // quorum, that was never asked for in this one.
  if (message.askedTerm !== state.term) return;
  if (message.asker !== state.incarnation) return;
  if (message.incarnation !== progress.incarnation) return;
  progress.heardAt = state.now;
  const answersInFlight = message.seq === progress.inFlight;
  if (answersInFlight) progress.inFlight = undefined;
  progress.ackedSentAt = Math.max(progress.ackedSentAt, message.sentAt);
  progress.ackedRound = Math.max(progress.ackedRound, message.round);
  if (answersInFlight) onChunkTaken(progress, message);
  if (message.ok) onMatched(progress, message.matchIndex);
  else if (answersInFlight) onMismatch(progress, message.hint);
  commitByQuorum(state, leadership);
  confirmReads(state);
  maybeReconfigure(state);
  replicate(state, from);
}

function onChunkTaken(
  progress: PeerProgress,
  message: ReplyOf<'progress'>
): void {
  if (progress.transfer === undefined || !message.ok) return;
  const {snapshot} = progress.transfer;
  const isWhole = message.matchIndex >= snapshot.index;
  progress.transfer = isWhole
    ? undefined
    : {snapshot, offset: message.received};
}

function onMatched(progress: PeerProgress, matchIndex: number): void {
  progress.matchIndex = Math.max(progress.matchIndex, matchIndex);
  progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
}

function onMismatch(progress: PeerProgress, hint: number): void {
  const next = Math.min(progress.nextIndex - 1, hint);
  progress.nextIndex = Math.max(progress.matchIndex + 1, next);
}

/** A request was lost; the next heartbeat tries again. */
export function onSendFailed(state: CoreState, to: string, seq: number): void {
  const progress = state.leadership?.progress.get(to);
  if (progress?.inFlight === seq) progress.inFlight = undefined;
}

/** Another incarnation lives at the peer's id: start afresh with that one. */
export function onStranger(
  state: CoreState,
  from: string,
  message: ReplyOf<'stranger'>
): void {
  const {leadership} = state;
  if (leadership?.progress.get(from)?.incarnation !== message.addressed) return;
  if (message.incarnation === message.addressed) return;
  leadership.progress.set(from, freshProgress(state, message.incarnation));
  replicate(state, from);
}

/** A peer said who lives there. */
export function onHelloForLeader(
  state: CoreState,
  from: string,
  message: ReplyOf<'hello'>
): void {
  const progress = state.leadership?.progress.get(from);
  if (progress === undefined || progress.incarnation !== undefined) return;
  progress.incarnation = message.incarnation;
  replicate(state, from);
}

/**
 * Commits what a quorum holds synced. Only an entry of the present term may be
 * counted: an older one on a quorum can still be replaced by a leader that
 * never saw it.
 */
function commitByQuorum(state: CoreState, leadership: Leadership): void {
  const matches = state.voters
    .map(voter =>
      state.isSelf(voter)
        ? state.syncedIndex
        : (progressOf(leadership, voter)?.matchIndex ?? 0)
    )
    .sort((a, b) => b - a);
  const index = matches[quorumOf(matches.length) - 1] ?? 0;
  if (index <= state.commitIndex) return;
  if (state.log.termAt(index) !== state.term) return;
  advanceCommit(state, index);
  confirmReads(state);
  maybeReconfigure(state);
  for (const [id, progress] of leadership.progress)
    if (progress.incarnation !== undefined && progress.inFlight === undefined)
      sendHeartbeat(state, id, progress);
}

/** Whether the leader has committed an entry of its own term. */
export function hasCommittedOwnTerm(
  state: CoreState,
  leadership: Leadership
): boolean {
  return state.commitIndex >= leadership.noopIndex;
}
