/** Elections: terms, pre-votes, votes and step-down. */

import {noteRemovedVoter} from './audience';
import type {CoreState} from './coreState';
import type {Voter} from './entry';
import type {ReplyOf, RequestOf} from './messages';
import {becomeLeader} from './replication';

/** Several elections fit into it, so that a lost leader alone asks no others. */
const ASK_OTHERS_AFTER_MS = 5_000;
/** Instances outside the configuration that are asked per pre-vote. */
const OTHERS_PER_ROUND = 10;
/** Addresses no incarnation; the receiver rejects the request. */
const UNKNOWN_INCARNATION = 'unknown';

type VoteRequest = RequestOf<'preVote'> | RequestOf<'vote'>;

/**
 * Becomes a follower, in a new term if `term` is higher than the current one.
 */
export function becomeFollower(
  state: CoreState,
  term: number,
  leaderId: string | undefined
): void {
  if (term > state.term) state.setHardState({term, votedFor: undefined});
  state.candidacy = undefined;
  stopLeading(state);
  state.leaderId = leaderId;
  state.resetElectionTimer();
}

/**
 * Forgets a leader that sends nothing. With a voter limit, an instance without a
 * vote gets no messages of later leaders and would name the old one forever.
 */
export function forgetLostLeader(state: CoreState): void {
  const {voterLimit, timing} = state.options;
  if (voterLimit === undefined || state.leaderId === undefined) return;
  if (state.isVoter) return;
  if (state.now - state.lastLeaderContact > timing.electionMaxMs)
    state.leaderId = undefined;
}

function stopLeading(state: CoreState): void {
  const {leadership} = state;
  if (leadership === undefined) return;
  state.leadership = undefined;
  const tickets = [...leadership.roundTickets, ...leadership.waitingTickets];
  for (const ticket of tickets) state.emit({kind: 'refused', ticket});
  state.emit({kind: 'leadershipLost'});
}

/**
 * Starts a pre-vote, which requests votes without raising the term. Without it,
 * an instance that was partitioned, or whose link works in one direction only,
 * would return with ever higher terms and depose working leaders repeatedly.
 */
export function startPreVote(state: CoreState): void {
  state.candidacy = {phase: 'preVote', granted: new Set()};
  state.leaderId = undefined;
  state.startRetryTimer();
  state.candidacy.granted.add(state.incarnation);
  state.voteRecord.askedAt = state.now;
  requestVotes(state, 'preVote', state.term + 1);
  askOthers(state);
  countVotes(state);
}

/**
 * Asks instances outside the configuration, some at a time, after a long time
 * without a leader. With a voter limit the leader may be one of them: this
 * instance may have been removed while it was away. The leader takes the request
 * as a sign to send the log; no vote of an unknown incarnation can count.
 */
function askOthers(state: CoreState): void {
  const {voterLimit, peerIds} = state.options;
  if (voterLimit === undefined) return;
  if (state.now - state.lastLeaderContact < ASK_OTHERS_AFTER_MS) return;
  const others = peerIds().filter(id =>
    state.voters.every(voter => voter.id !== id)
  );
  const count = Math.min(OTHERS_PER_ROUND, others.length);
  for (let i = 0; i < count; i++) {
    const id = others[state.askedOthers++ % others.length];
    if (id !== undefined)
      sendVoteRequest(state, 'preVote', state.term + 1, {
        id,
        incarnation: UNKNOWN_INCARNATION,
      });
  }
}

function startElection(state: CoreState): void {
  const candidacy = {phase: 'vote' as const, granted: new Set<string>()};
  state.candidacy = candidacy;
  state.startRetryTimer();
  state.setHardState({term: state.term + 1, votedFor: state.incarnation});
  // The vote for itself must be durable before it is counted and before other
  // votes are requested. Otherwise this instance could crash and then vote for
  // another candidate in the same term.
  state.whenAllSynced(() => {
    if (state.candidacy !== candidacy) return;
    candidacy.granted.add(state.incarnation);
    requestVotes(state, 'vote', state.term);
    countVotes(state);
  });
}

function requestVotes(
  state: CoreState,
  kind: VoteRequest['kind'],
  term: number
): void {
  for (const voter of state.voters)
    if (!state.isSelf(voter)) sendVoteRequest(state, kind, term, voter);
}

function sendVoteRequest(
  state: CoreState,
  kind: VoteRequest['kind'],
  term: number,
  to: Voter
): void {
  state.emit({
    kind: 'send',
    to: to.id,
    message: {
      kind,
      ...requestHeader(state, to.incarnation),
      term,
      lastIndex: state.log.lastIndex,
      lastTerm: state.log.lastTerm,
    },
  });
}

function countVotes(state: CoreState): void {
  const {candidacy} = state;
  if (candidacy === undefined) return;
  if (!state.hasQuorum(voter => candidacy.granted.has(voter.incarnation)))
    return;
  if (candidacy.phase === 'preVote') {
    startElection(state);
    return;
  }
  state.candidacy = undefined;
  state.leaderId = state.options.id;
  becomeLeader(state);
}

/**
 * Steps down before a shutdown and notifies the peers, so that a restart of the
 * leader does not cost callers a whole election timeout.
 */
export function resign(state: CoreState): void {
  const {leadership} = state;
  if (leadership === undefined) return;
  becomeFollower(state, state.term, undefined);
  for (const [id, {incarnation}] of leadership.progress) {
    if (incarnation === undefined) continue;
    const message = {
      kind: 'resign' as const,
      ...requestHeader(state, incarnation),
    };
    state.emit({kind: 'send', to: id, message});
  }
}

/** Schedules an early election when the leader of the current term resigns. */
export function onResign(
  state: CoreState,
  ticket: number,
  message: RequestOf<'resign'>
): void {
  if (message.term === state.term && state.leaderId === message.from) {
    state.leaderId = undefined;
    const waitMs = state.options.random() * state.options.timing.heartbeatMs;
    state.electionDeadline = state.now + waitMs;
  }
  state.reply(ticket, {kind: 'resign', incarnation: state.incarnation});
}

/** The fields common to all requests except hello. */
export function requestHeader(state: CoreState, toIncarnation: string) {
  return {
    from: state.options.id,
    fromIncarnation: state.incarnation,
    toIncarnation,
    group: state.hard.group ?? state.incarnation,
    term: state.term,
  };
}

/** Handles a pre-vote or vote request of a candidate. */
export function onVoteRequest(
  state: CoreState,
  ticket: number,
  message: VoteRequest
): void {
  noteRemovedVoter(state, message.from, message.fromIncarnation);
  const granted =
    message.kind === 'vote'
      ? grantVote(state, message)
      : grantPreVote(state, message);
  state.reply(ticket, {
    kind: 'vote',
    incarnation: state.incarnation,
    asker: message.fromIncarnation,
    preVote: message.kind === 'preVote',
    askedTerm: message.term,
    term: state.term,
    granted,
  });
}

function grantPreVote(state: CoreState, message: VoteRequest): boolean {
  if (hasLeaderContact(state) || message.term <= state.term) return false;
  if (!isLogUpToDate(state, message)) return false;
  // Two concurrent candidates would split the votes, so this instance delays
  // its own election by one heartbeat. That is shorter than a candidate's
  // shortest retry timeout, so a candidate that receives no replies cannot
  // delay it forever.
  const {heartbeatMs} = state.options.timing;
  state.electionDeadline = Math.max(
    state.electionDeadline,
    state.now + heartbeatMs
  );
  return true;
}

function grantVote(state: CoreState, message: VoteRequest): boolean {
  if (hasLeaderContact(state) || message.term < state.term) return false;
  if (message.term > state.term) becomeFollower(state, message.term, undefined);
  const {votedFor} = state.hard;
  if (votedFor !== undefined && votedFor !== message.fromIncarnation)
    return false;
  if (!isLogUpToDate(state, message)) return false;
  if (votedFor === undefined)
    state.setHardState({votedFor: message.fromIncarnation});
  state.resetElectionTimer();
  return true;
}

/** Whether a leader was active recently, so that votes are denied. */
function hasLeaderContact(state: CoreState): boolean {
  if (state.leadership !== undefined) return true;
  return (
    state.leaderId !== undefined &&
    state.now - state.lastLeaderContact < state.options.timing.electionMinMs
  );
}

function isLogUpToDate(state: CoreState, message: VoteRequest): boolean {
  const {lastTerm, lastIndex} = state.log;
  if (message.lastTerm !== lastTerm) return message.lastTerm > lastTerm;
  return message.lastIndex >= lastIndex;
}

/** Handles the reply of a voter. Votes are counted by incarnation. */
export function onVoteReply(state: CoreState, message: ReplyOf<'vote'>): void {
  if (message.term > state.term) {
    becomeFollower(state, message.term, undefined);
    return;
  }
  const {candidacy} = state;
  if (candidacy === undefined || !message.granted) return;
  const expectedTerm =
    candidacy.phase === 'preVote' ? state.term + 1 : state.term;
  if (message.askedTerm !== expectedTerm) return;
  if (message.asker !== state.incarnation) return;
  if (message.preVote !== (candidacy.phase === 'preVote')) return;
  candidacy.granted.add(message.incarnation);
  countVotes(state);
}
