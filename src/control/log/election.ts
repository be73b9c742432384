/** Terms, votes and who leads. */

import type {CoreState} from './coreState';
import type {ReplyOf, RequestOf} from './messages';
import {startLeading} from './replication';

type VoteRequest = RequestOf<'preVote'> | RequestOf<'vote'>;

/** Becomes a follower; the term never goes back. */
export function follow(
  state: CoreState,
  term: number,
  leaderId: string | undefined
): void {
  if (term > state.term) state.setHard({term, votedFor: undefined});
  state.candidacy = undefined;
  stopLeading(state);
  state.leaderId = leaderId;
  state.resetElectionTimer();
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
 * Asks for votes without raising the term. An instance that was cut off, or
 * hears in one direction only, would else come back with ever higher terms
 * and unseat working leaders again and again.
 */
export function startPreVote(state: CoreState): void {
  state.candidacy = {phase: 'preVote', granted: new Set()};
  state.leaderId = undefined;
  state.startRetryTimer();
  state.candidacy.granted.add(state.incarnation);
  requestVotes(state, 'preVote', state.term + 1);
  countVotes(state);
}

function startElection(state: CoreState): void {
  const candidacy = {phase: 'vote' as const, granted: new Set<string>()};
  state.candidacy = candidacy;
  state.startRetryTimer();
  state.setHard({term: state.term + 1, votedFor: state.incarnation});
  // Our own vote counts, and others are asked, only once it is durable: after
  // a crash this instance could else vote for another in the same term.
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
  for (const voter of state.voters) {
    if (state.isSelf(voter)) continue;
    state.emit({
      kind: 'send',
      to: voter.id,
      message: {
        kind,
        ...address(state, voter.incarnation),
        term,
        lastIndex: state.log.lastIndex,
        lastTerm: state.log.lastTerm,
      },
    });
  }
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
  startLeading(state);
}

/**
 * Ends an orderly leadership and tells the others, so that callers need not
 * wait out an election timeout at each restart of a leader.
 */
export function resign(state: CoreState): void {
  const {leadership} = state;
  if (leadership === undefined) return;
  follow(state, state.term, undefined);
  for (const [id, {incarnation}] of leadership.progress) {
    if (incarnation === undefined) continue;
    const message = {kind: 'resign' as const, ...address(state, incarnation)};
    state.emit({kind: 'send', to: id, message});
  }
}

/** Stands soon when the leader of the present term goes. */
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

/** Sender, addressee, group and term, as every request but hello has them. */
export function address(state: CoreState, toIncarnation: string) {
  return {
    from: state.options.id,
    fromIncarnation: state.incarnation,
    toIncarnation,
    group: state.hard.group ?? state.incarnation,
    term: state.term,
  };
}

/** Answers a candidate. */
export function onVoteRequest(
  state: CoreState,
  ticket: number,
  message: VoteRequest
): void {
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
  if (hearsLeader(state) || message.term <= state.term) return false;
  if (!isUpToDate(state, message)) return false;
  // Two that stand at once split the votes. This one holds back for a moment,
  // shorter than any candidate's retry, so one that hears nobody cannot keep
  // it back for ever.
  const {heartbeatMs} = state.options.timing;
  state.electionDeadline = Math.max(
    state.electionDeadline,
    state.now + heartbeatMs
  );
  return true;
}

function grantVote(state: CoreState, message: VoteRequest): boolean {
  if (hearsLeader(state) || message.term < state.term) return false;
  if (message.term > state.term) follow(state, message.term, undefined);
  const {votedFor} = state.hard;
  if (votedFor !== undefined && votedFor !== message.fromIncarnation)
    return false;
  if (!isUpToDate(state, message)) return false;
  if (votedFor === undefined)
    state.setHard({votedFor: message.fromIncarnation});
  state.resetElectionTimer();
  return true;
}

/** Whether a leader was heard so lately that no vote is due. */
function hearsLeader(state: CoreState): boolean {
  if (state.leadership !== undefined) return true;
  return (
    state.leaderId !== undefined &&
    state.now - state.lastLeaderContact < state.options.timing.electionMinMs
  );
}

function isUpToDate(state: CoreState, message: VoteRequest): boolean {
  const {lastTerm, lastIndex} = state.log;
  if (message.lastTerm !== lastTerm) return message.lastTerm > lastTerm;
  return message.lastIndex >= lastIndex;
}

/** Takes in an answer of a voter; counted by incarnation. */
export function onVoteReply(state: CoreState, message: ReplyOf<'vote'>): void {
  if (message.term > state.term) {
    follow(state, message.term, undefined);
    return;
  }
  const {candidacy} = state;
  if (candidacy === undefined || !message.granted) return;
  const asked = candidacy.phase === 'preVote' ? state.term + 1 : state.term;
  if (message.askedTerm !== asked) return;
  if (message.asker !== state.incarnation) return;
  if (message.preVote !== (candidacy.phase === 'preVote')) return;
  candidacy.granted.add(message.incarnation);
  countVotes(state);
}
