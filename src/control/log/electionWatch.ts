/** Reports why no leader is elected: which voters replied, and what. */

import type {CoreState} from './coreState';
import {quorumOf} from './entry';
import type {CoreReply} from './messages';

/** Several elections fit into it. */
const STALLED_AFTER_MS = 2_000;
const REPORT_INTERVAL_MS = 5_000;
/** A voter is asked several times within it. */
const REPLY_VALID_MS = 2_000;

/** What a voter replied to the latest requests for its vote. */
export type VoteAnswer =
  | {readonly kind: 'granted'}
  /** It is in this term, knows a leader, or has a newer log. */
  | {readonly kind: 'denied'; readonly term: number}
  /** The disk of the voter was wiped or replaced. */
  | {readonly kind: 'otherIncarnation'; readonly incarnation: string}
  | {readonly kind: 'noReply'}
  /** This instance was no candidate lately. */
  | {readonly kind: 'notAsked'};

/** A voter's view of elections that nobody wins. */
export interface ElectionStall {
  readonly term: number;
  readonly leaderlessMs: number;
  readonly quorum: number;
  /** Ids of the voters that granted their vote, this instance included. */
  readonly granted: readonly string[];
  /** Answers of the other voters by id. */
  readonly others: Readonly<Record<string, VoteAnswer>>;
}

/** Requests for votes and the replies to them. */
export class VoteRecord {
  /** Time since which no leader is known; undefined with one. */
  leaderlessSince: number | undefined;
  reportedAt = -Infinity;
  askedAt = -Infinity;
  /** Last answers of voters by id. */
  readonly answers = new Map<
    string,
    {readonly answer: VoteAnswer; readonly at: number}
  >();
}

/** Records a reply of a voter; any other is ignored. */
export function noteVoteReply(
  state: CoreState,
  from: string,
  message: CoreReply
): void {
  if (state.voters.every(({id}) => id !== from)) return;
  const answer = answerOf(message);
  if (answer === undefined) return;
  state.voteRecord.answers.set(from, {answer, at: state.now});
}

function answerOf(message: CoreReply): VoteAnswer | undefined {
  const {kind} = message;
  if (kind === 'stranger')
    return {kind: 'otherIncarnation', incarnation: message.incarnation};
  if (kind !== 'vote') return undefined;
  return message.granted
    ? {kind: 'granted'}
    : {kind: 'denied', term: message.term};
}

/** Emits a report while a voter knows no leader for long. */
export function reportStalledElection(state: CoreState): void {
  const {voteRecord: record, now} = state;
  if (!state.isVoter || state.leaderId !== undefined) {
    record.leaderlessSince = undefined;
    return;
  }
  record.leaderlessSince ??= now;
  const leaderlessMs = now - record.leaderlessSince;
  if (leaderlessMs < STALLED_AFTER_MS) return;
  if (now - record.reportedAt < REPORT_INTERVAL_MS) return;
  record.reportedAt = now;
  state.emit({
    kind: 'electionStalled',
    stall: stallOf(state, leaderlessMs),
  });
}

function stallOf(state: CoreState, leaderlessMs: number): ElectionStall {
  const granted: string[] = [];
  const others: Record<string, VoteAnswer> = {};
  for (const voter of state.voters) {
    const answer = latestAnswer(state, voter.id);
    const isOwnVote = state.isSelf(voter) && state.candidacy !== undefined;
    if (isOwnVote || answer.kind === 'granted') granted.push(voter.id);
    else if (!state.isSelf(voter)) others[voter.id] = answer;
  }
  const {term, voters} = state;
  const quorum = quorumOf(voters.length);
  return {term, leaderlessMs, quorum, granted, others};
}

function latestAnswer({voteRecord, now}: CoreState, id: string): VoteAnswer {
  const since = now - REPLY_VALID_MS;
  const last = voteRecord.answers.get(id);
  if (last !== undefined && last.at > since) return last.answer;
  return {kind: voteRecord.askedAt > since ? 'noReply' : 'notAsked'};
}
