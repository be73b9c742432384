/** The leader's side of replication: appends, heartbeats and commits. */

import type {CoreState, Leadership, PeerProgress} from './coreState';
import type {EntryBody, LogEntry, Voter} from './entry';
import {quorumOf} from './entry';
import type {ReplyOf, RequestOf} from './messages';
import {updateAudience} from './audience';
import {
  hasMajorityContact,
  newMemberContact,
  noteAnswer,
  onProbeReply,
  probeMembers,
} from './memberContact';
import {maybeReconfigure} from './membership';
import {advanceCommit} from './commit';
import {confirmReads} from './readIndex';
import {becomeFollower, requestHeader} from './election';
import {entryChars} from './entrySize';

type WireConfiguration = RequestOf<'snapshot'>['snapshot']['configuration'];

/** Becomes the leader and starts the term with a no-op entry. */
export function becomeLeader(state: CoreState): void {
  const leadership: Leadership = {
    progress: new Map(),
    noopIndex: state.log.lastIndex + 1,
    nextHeartbeatAt: state.now + state.options.timing.heartbeatMs,
    round: 0,
    roundTickets: [],
    waitingTickets: [],
    contact: newMemberContact(),
    passedOverAt: new Map(),
    removedAt: new Map(),
  };
  state.leadership = leadership;
  updateAudience(state, leadership);
  startSilenceClocks(state, leadership);
  state.emit({kind: 'elected', term: state.term});
  appendAsLeader(state, {kind: 'command', command: {kind: 'noop'}});
  probeMembers(state, leadership);
}

/**
 * Counts the silence of voters from the last contact with the former leader, at
 * most one election timeout ago. Otherwise each election would delay the removal
 * of a voter that is gone, such as the former leader, by its own duration. An
 * instance that led before has no later contact, and the limit applies.
 */
function startSilenceClocks(state: CoreState, {progress}: Leadership): void {
  const {now, lastLeaderContact, options, voters} = state;
  if (lastLeaderContact === -Infinity) return;
  const earliest = now - options.timing.electionMaxMs;
  const since = Math.max(earliest, lastLeaderContact);
  for (const {id} of voters) {
    const voter = progress.get(id);
    if (voter !== undefined) voter.lastReplyAt = since;
  }
}

/** Progress of a peer whose log is not known yet. */
export function newProgress(
  state: CoreState,
  incarnation: string | undefined
): PeerProgress {
  return {
    incarnation,
    nextIndex: state.log.lastIndex + 1,
    matchIndex: 0,
    inFlightSince: 0,
    lastReplyAt: state.now,
    ackedSentAt: state.now,
    ackedRound: -1,
  };
}

/**
 * Appends an entry in the current term, replicates it and returns its index.
 */
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
 * Sends the peer the entries that it lacks, one request at a time. Entries
 * proposed while a request is outstanding are sent together in the next one.
 */
function replicate(state: CoreState, id: string): void {
  const progress = state.leadership?.progress.get(id);
  if (progress?.incarnation === undefined) return;
  if (progress.inFlight !== undefined) return;
  const {lastIndex} = state.log;
  if (progress.matchIndex >= lastIndex) return;
  // The log of a new peer is unknown. Probe it with the last entry.
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

/** The entries after `prevIndex` within the size limits, but at least one. */
function nextBatch(state: CoreState, prevIndex: number): readonly LogEntry[] {
  const {batchEntries, batchChars} = state.options;
  const entries = state.log.slice(prevIndex + 1, batchEntries);
  let chars = 0;
  const firstOver = entries.findIndex(entry => {
    chars += entryChars(entry);
    return chars > batchChars;
  });
  return firstOver < 0 ? entries : entries.slice(0, Math.max(1, firstOver));
}

/**
 * Sends the next chunk. A started transfer continues with the same snapshot.
 */
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
    ...requestHeader(state, toIncarnation),
    seq: ++state.requestSeq,
    round: state.leadership?.round ?? 0,
    sentAt: state.now,
  };
}

/**
 * Sends a heartbeat to all peers. A heartbeat refers to an entry that is known
 * to match, so it is never rejected for a mismatch and need not wait for an
 * outstanding append.
 */
export function sendHeartbeats(state: CoreState): void {
  const {leadership} = state;
  if (leadership === undefined) return;
  leadership.nextHeartbeatAt = state.now + state.options.timing.heartbeatMs;
  updateAudience(state, leadership);
  probeMembers(state, leadership);
  for (const [id, progress] of leadership.progress) {
    if (progress.incarnation === undefined) sendHello(state, id);
    else sendHeartbeat(state, id, progress);
  }
}

function sendHeartbeat(
  state: CoreState,
  id: string,
  progress: PeerProgress
): void {
  const isRetained = progress.matchIndex >= state.log.baseIndex;
  sendAppend(state, id, progress, isRetained ? progress.matchIndex : 0, false);
}

/** Requests the current incarnation of a peer. */
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

/** Runs the leader's timers: quorum check, resends and heartbeats. */
export function tickLeader(state: CoreState, leadership: Leadership): void {
  const {checkQuorumMs} = state.options.timing;
  if (!isQuorumActive(state, leadership, checkQuorumMs)) {
    becomeFollower(state, state.term, undefined);
    return;
  }
  for (const [id, progress] of leadership.progress) {
    const age = state.now - progress.inFlightSince;
    if (age >= state.options.timing.resendMs) progress.inFlight = undefined;
    if (state.now >= leadership.nextHeartbeatAt) replicate(state, id);
  }
  if (state.now >= leadership.nextHeartbeatAt) sendHeartbeats(state);
}

/**
 * Whether a quorum has replied to messages sent within `withinMs`. The
 * send time counts, not the arrival of the reply: after a pause a leader finds
 * old replies waiting, which do not prove that it is still the leader.
 */
export function isQuorumActive(
  state: CoreState,
  leadership: Leadership,
  withinMs: number
): boolean {
  const since = state.now - withinMs;
  return state.hasQuorum(
    voter =>
      state.isSelf(voter) ||
      (progressOf(leadership, voter)?.ackedSentAt ?? -Infinity) > since
  );
}

/** Progress of the voter's peer, if the peer still has the same incarnation. */
export function progressOf(
  leadership: Leadership,
  voter: Voter
): PeerProgress | undefined {
  const progress = leadership.progress.get(voter.id);
  return progress?.incarnation === voter.incarnation ? progress : undefined;
}

/** Handles a peer's reply to an append or snapshot. */
export function onProgress(
  state: CoreState,
  from: string,
  message: ReplyOf<'progress'>
): void {
  if (message.term > state.term) {
    becomeFollower(state, message.term, undefined);
    return;
  }
  const {leadership} = state;
  const progress = leadership?.progress.get(from);
  if (leadership === undefined || progress === undefined) return;
  // A reply to a request of an earlier term must neither confirm a read round
  // nor count towards the quorum check of the current term.
  if (message.askedTerm !== state.term) return;
  if (message.asker !== state.incarnation) return;
  if (message.incarnation !== progress.incarnation) return;
  progress.lastReplyAt = state.now;
  noteAnswer(leadership, from, message.sentAt);
  const isReplyToInFlight = message.seq === progress.inFlight;
  if (isReplyToInFlight) progress.inFlight = undefined;
  progress.ackedSentAt = Math.max(progress.ackedSentAt, message.sentAt);
  progress.ackedRound = Math.max(progress.ackedRound, message.round);
  if (isReplyToInFlight) onChunkStored(progress, message);
  if (message.ok) onMatched(progress, message.matchIndex);
  else if (isReplyToInFlight) onMismatch(progress, message.hint);
  commitByQuorum(state, leadership);
  confirmReads(state);
  maybeReconfigure(state);
  replicate(state, from);
}

function onChunkStored(
  progress: PeerProgress,
  message: ReplyOf<'progress'>
): void {
  if (progress.transfer === undefined || !message.ok) return;
  const {snapshot} = progress.transfer;
  const isComplete = message.matchIndex >= snapshot.index;
  progress.transfer = isComplete
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

/**
 * Handles a request without a reply; the next heartbeat tick sends it again.
 */
export function onSendFailed(state: CoreState, to: string, seq: number): void {
  const progress = state.leadership?.progress.get(to);
  if (progress?.inFlight === seq) progress.inFlight = undefined;
}

/** Restarts replication to a peer that now has another incarnation. */
export function onStrangerReply(
  state: CoreState,
  from: string,
  message: ReplyOf<'stranger'>
): void {
  const {leadership} = state;
  if (leadership?.progress.get(from)?.incarnation !== message.addressed) return;
  if (message.incarnation === message.addressed) return;
  leadership.progress.set(from, newProgress(state, message.incarnation));
  replicate(state, from);
}

/** Records contact, and the incarnation of a peer that was not known. */
export function onHelloReply(
  state: CoreState,
  from: string,
  message: ReplyOf<'hello'>
): void {
  const {leadership} = state;
  if (leadership === undefined) return;
  onProbeReply(leadership, from, message);
  const progress = leadership.progress.get(from);
  if (progress === undefined || progress.incarnation !== undefined) return;
  progress.incarnation = message.incarnation;
  replicate(state, from);
}

/**
 * Commits up to the highest index that a quorum has synced. Only an entry of
 * the current term may be committed by counting: an older one, even on a
 * quorum, can still be replaced by a leader that never received it.
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
  if (!hasMajorityContact(state, leadership)) return;
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
