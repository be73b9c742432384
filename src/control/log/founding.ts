/**
 * The first boot. Only the instance with the lowest id founds a group, and
 * only after every configured peer has answered twice that its log is empty:
 * a wiped instance among whole ones must never found a second group beside
 * theirs.
 *
 * A group is named after the founder's incarnation, and whoever holds entries
 * of one group takes none of another. Should the founder be wiped while it
 * founds and found again, a message of its old life could still reach a peer.
 * The first round of answers fixes who lives; the second, sent after it, shows
 * that these held nothing once all others were lost. Whatever commits in the
 * old group then needs a quorum of the very incarnations that the new group
 * also needs, so only one of the two ever commits anything.
 */

import type {CoreState} from './coreState';
import type {ReplyOf, RequestOf} from './messages';
import {startPreVote} from './election';
import {sendHello} from './replication';

const ROUND_IDS = 2 ** 31;
/** Both rounds must fit in; peers that start up later are asked again. */
const RETRY_MS = 500;

/** Rounds of questions, for the instance that may found. */
export class Founding {
  /** Echoed in the answers; random, so that no older answer matches. */
  private round = -1;
  private askAt = -Infinity;
  private answers = new Map<string, string>();
  /** Incarnations that were empty in the round before. */
  private previous: ReadonlyMap<string, string> | undefined;

  constructor(private readonly state: CoreState) {}

  /** Regular work of an empty instance. */
  tick(): void {
    const {now} = this.state;
    if (now < this.askAt || !this.mayFound()) return;
    this.askAt = now + RETRY_MS;
    this.previous = undefined;
    this.startRound();
    this.finishRound();
  }

  /** Takes in a peer's answer. */
  onHello(from: string, message: ReplyOf<'hello'>): void {
    if (message.round !== this.round || !this.mayFound()) return;
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

  /** The others that found; those told by settings, not those found since. */
  private peerIds(): readonly string[] {
    const {founders, peerIds, id} = this.state.options;
    if (founders === undefined) return peerIds();
    return founders.filter(founder => founder !== id);
  }

  private startRound(): void {
    const {options} = this.state;
    this.round = Math.floor(options.random() * ROUND_IDS);
    this.answers = new Map();
    for (const id of this.peerIds()) sendHello(this.state, id, this.round);
  }

  private finishRound(): void {
    const peerIds = this.peerIds();
    if (!peerIds.every(peerId => this.answers.has(peerId))) return;
    const {answers, previous} = this;
    const same = (id: string): boolean => previous?.get(id) === answers.get(id);
    if (previous !== undefined && peerIds.every(same)) {
      this.found(answers);
      return;
    }
    this.previous = answers;
    this.startRound();
    if (peerIds.length === 0) this.found(answers);
  }

  private found(peers: ReadonlyMap<string, string>): void {
    const {state} = this;
    this.round = -1;
    const voters = [{id: state.options.id, incarnation: state.incarnation}];
    for (const [id, incarnation] of peers) voters.push({id, incarnation});
    const term = Math.max(1, state.term);
    state.setHard({term, group: state.incarnation});
    const configuration = {voters};
    state.append([
      {index: 1, term: 1, body: {kind: 'configuration', configuration}},
    ]);
    startPreVote(state);
  }
}

/** Tells who lives here. */
export function onHello(
  state: CoreState,
  ticket: number,
  message: RequestOf<'hello'>
): void {
  state.reply(ticket, {
    kind: 'hello',
    incarnation: state.incarnation,
    round: message.round,
    // After damage something was held here, even if the log is empty now.
    empty: state.isEmpty && state.hard.mayFound,
  });
}
