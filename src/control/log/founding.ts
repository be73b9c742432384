/**
 * Founding (bootstrapping) a group on the first start. Only the instance with
 * the lowest id founds a group, and only after every configured peer has
 * replied twice that its log is empty. A wiped instance whose peers still hold
 * a log must never found a second group.
 *
 * The group id is the founder's incarnation. An instance that holds entries of
 * one group rejects those of any other. If the founder is wiped while it founds
 * and then founds again, a message of its previous incarnation may still reach
 * a peer. The first round of replies determines the current incarnations. The
 * second round, sent afterwards, shows that they were still empty when all
 * earlier incarnations were gone. From then on the old group needs a quorum of
 * the same incarnations as the new group, so only one of the two groups can
 * ever commit an entry.
 */

import type {CoreState} from './coreState';
import type {ReplyOf, RequestOf} from './messages';
import {startPreVote} from './election';
import {sendHello} from './replication';

const ROUND_ID_RANGE = 2 ** 31;
/**
 * Interval between two attempts. Both rounds of an attempt must complete within
 * it; peers that start later are asked again in the next attempt.
 */
const FOUNDING_RETRY_MS = 500;

/** Runs the rounds of hello requests on an instance that may found a group. */
export class GroupFounding {
  /**
   * Echoed in the replies. Random, so that no reply of an older round matches.
   */
  private round = -1;
  private nextAttemptAt = -Infinity;
  /** Empty peers that replied in this round: incarnation by id. */
  private answers = new Map<string, string>();
  /** The same for the previous round of this attempt. */
  private previous: ReadonlyMap<string, string> | undefined;

  constructor(private readonly state: CoreState) {}

  /** Starts the next attempt when it is due; called while the log is empty. */
  tick(): void {
    const {now} = this.state;
    if (now < this.nextAttemptAt || !this.mayFound()) return;
    this.nextAttemptAt = now + FOUNDING_RETRY_MS;
    this.previous = undefined;
    this.startRound();
    this.finishRound();
  }

  /** Handles a peer's hello reply. */
  onHelloReply(from: string, message: ReplyOf<'hello'>): void {
    if (message.round !== this.round || !this.mayFound()) return;
    if (!this.peerIds().includes(from)) {
      if (!message.empty) this.state.setHardState({mayFound: false});
      return;
    }
    if (!message.empty) return;
    this.answers.set(from, message.incarnation);
    this.finishRound();
  }

  private mayFound(): boolean {
    const {hard, isEmpty, options} = this.state;
    if (!isEmpty || !hard.mayFound) return false;
    if (options.founders?.includes(options.id) === false) return false;
    return this.peerIds().every(peerId => options.id < peerId);
  }

  /** The other founders: those configured, or all known peers if none are. */
  private peerIds(): readonly string[] {
    const {founders, peerIds, id} = this.state.options;
    if (founders === undefined) return peerIds();
    return founders.filter(founder => founder !== id);
  }

  private startRound(): void {
    const {options} = this.state;
    this.round = Math.floor(options.random() * ROUND_ID_RANGE);
    this.answers = new Map();
    for (const id of [...this.peerIds(), ...this.otherPeerIds()])
      sendHello(this.state, id, this.round);
  }

  /**
   * With a voter limit, the known instances that are not founders. The voters may
   * all be among them, and founders that were wiped one after the other are empty
   * without a vote. An instance that holds entries shows that the group exists.
   */
  private otherPeerIds(): readonly string[] {
    const {founders, peerIds, voterLimit} = this.state.options;
    if (founders === undefined || voterLimit === undefined) return [];
    return peerIds().filter(id => !founders.includes(id));
  }

  private finishRound(): void {
    const peerIds = this.peerIds();
    if (!peerIds.every(peerId => this.answers.has(peerId))) return;
    const {answers, previous} = this;
    const hasSameIncarnation = (id: string): boolean =>
      previous?.get(id) === answers.get(id);
    if (previous !== undefined && peerIds.every(hasSameIncarnation)) {
      this.foundGroup(answers);
      return;
    }
    this.previous = answers;
    this.startRound();
    if (peerIds.length === 0) this.foundGroup(answers);
  }

  private foundGroup(peers: ReadonlyMap<string, string>): void {
    const {state} = this;
    this.round = -1;
    const voters = [{id: state.options.id, incarnation: state.incarnation}];
    for (const [id, incarnation] of peers) voters.push({id, incarnation});
    const term = Math.max(1, state.term);
    state.setHardState({term, group: state.incarnation});
    const configuration = {voters};
    state.append([
      {index: 1, term: 1, body: {kind: 'configuration', configuration}},
    ]);
    startPreVote(state);
  }
}

/** Replies with this instance's incarnation and whether its log is empty. */
export function onHelloRequest(
  state: CoreState,
  ticket: number,
  message: RequestOf<'hello'>
): void {
  state.reply(ticket, {
    kind: 'hello',
    incarnation: state.incarnation,
    round: message.round,
    // After damage the log is empty now but held entries before.
    empty: state.isEmpty && state.hard.mayFound,
  });
}
