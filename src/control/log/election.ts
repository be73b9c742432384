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
/** A candidate and a voter store a vote one after the other. */
const SYNCS_PER_VOTE = 2;
const MAX_VOTING_MS = 10_000;

type VoteRequest = RequestOf<'preVote'> | RequestOf<'vote'>;

/**
 * Becomes a follower, in a new term if `term` is higher than the current one. Term
 * and vote are stored with one sync.
 */
export function becomeFollower(
  state: CoreState,
  term: number,
  leaderId: string | undefined,
  votedFor?: string
): void {
  if (term > state.term) state.setHardState({term, votedFor});
  state.candidacy = undefined;
  state.ballot = undefined;
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
  state.candidacy = {
    phase: 'preVote',
    granted: new Set([state.incarnation]),
  };
  state.leaderId = undefined;
  state.startRetryTimer();
  state.voteRecord.askedAt = state.now;
  // Voters whose disks are slow may still grant the vote of the current term.
  if (state.ballot !== undefined) requestVotes(state, 'vote', state.term);
  requestVotes(state, 'preVote', state.term + 1);
  askOthers(state);
  countPreVotes(state);
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
  state.setHardState({term: state.term + 1, votedFor: state.incarnation});
  const candidacy = {phase: 'vote' as const};
  state.candidacy = candidacy;
  state.ballot = undefined;
  protectElection(state);
  // The vote for itself must be durable before it is counted and before other
  // votes are requested. Otherwise this instance could crash and then vote for
  // another candidate in the same term.
  state.whenAllSynced(() => {
    if (state.candidacy !== candidacy) return;
    state.ballot = new Set([state.incarnation]);
    state.startRetryTimer();
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

function countPreVotes(state: CoreState): void {
  const {candidacy} = state;
  if (candidacy?.phase !== 'preVote') return;
  if (state.hasQuorum(voter => candidacy.granted.has(voter.incarnation)))
    startElection(state);
}

function countVotes(state: CoreState): void {
  const {ballot} = state;
  if (ballot === undefined) return;
  if (!state.hasQuorum(voter => ballot.has(voter.incarnation))) return;
  state.candidacy = undefined;
  state.ballot = undefined;
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
  if (isVotingForOther(state, message.fromIncarnation)) return false;
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
  const candidate = message.fromIncarnation;
  const isUpToDate = isLogUpToDate(state, message);
  if (message.term > state.term) {
    const votedFor = isUpToDate ? candidate : undefined;
    becomeFollower(state, message.term, undefined, votedFor);
  } else {
    const {votedFor} = state.hard;
    if (votedFor !== undefined) return isUpToDate && votedFor === candidate;
    if (isUpToDate) state.setHardState({votedFor: candidate});
  }
  if (!isUpToDate) return false;
  state.resetElectionTimer();
  protectElection(state);
  return true;
}

/**
 * Holds the next election back until the other voters may have stored their votes,
 * on disks as slow as this one.
 */
function protectElection(state: CoreState): void {
  const {term, now: votedAt} = state;
  state.whenAllSynced(() => {
    if (state.term !== term) return;
    const votingMs = SYNCS_PER_VOTE * (state.now - votedAt);
    state.votingUntil = state.now + Math.min(MAX_VOTING_MS, votingMs);
  });
}

/**
 * Whether this instance voted for another candidate whose other voters may still
 * store their votes. An election in the next term would make these worthless, and
 * depose the candidate if it has become the leader meanwhile.
 */
function isVotingForOther(state: CoreState, candidate: string): boolean {
  const {votedFor} = state.hard;
  if (votedFor === undefined || votedFor === candidate) return false;
  return state.isHardStatePending || state.now < state.votingUntil;
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
  if (!message.granted || message.asker !== state.incarnation) return;
  if (message.preVote) notePreVote(state, message);
  else noteVote(state, message);
}

function notePreVote(state: CoreState, message: ReplyOf<'vote'>): void {
  const {candidacy} = state;
  if (candidacy?.phase !== 'preVote') return;
  if (message.askedTerm !== state.term + 1) return;
  candidacy.granted.add(message.incarnation);
  countPreVotes(state);
}

/**
 * Counts a vote of the current term also after the retry timeout, since a vote
 * that was granted is as good however long it took to store.
 */
function noteVote(state: CoreState, message: ReplyOf<'vote'>): void {
  if (message.askedTerm !== state.term) return;
  state.ballot?.add(message.incarnation);
  countVotes(state);
}
