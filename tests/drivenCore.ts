/** A Raft core that a test drives event by event, with its fixtures. */

import type {
  CoreEffect,
  CoreEvent,
  CoreOptions,
} from '../src/control/log/coreEvents';
import {DEFAULT_TIMING} from '../src/control/log/coreEvents';
import type {DurableState, LogEntry} from '../src/control/log/entry';
import type {
  CoreReply,
  CoreRequest,
  ReplyOf,
} from '../src/control/log/messages';
import {RaftCore} from '../src/control/log/raftCore';

const {electionMaxMs} = DEFAULT_TIMING;
export const VOTERS = ['a/1', 'b/1', 'c/1'].map(incarnation => ({
  id: incarnation.slice(0, 1),
  incarnation,
}));
export const CONFIGURATION = {voters: VOTERS};
export const FIRST_ENTRY: LogEntry = {
  index: 1,
  term: 1,
  body: {kind: 'configuration', configuration: CONFIGURATION},
};
export const noopEntry = (index: number, term: number): LogEntry => ({
  index,
  term,
  body: {kind: 'command', command: {kind: 'noop'}},
});
export const CORE_OPTIONS = {
  id: 'a',
  peerIds: () => ['b', 'c'],
  random: () => 0.5,
  timing: DEFAULT_TIMING,
  batchEntries: 64,
  batchChars: 10_000,
  chunkChars: 10_000,
  trailingEntries: 0,
};
const LOG_START = {index: 0, term: 0};
export const EMPTY_STATE: DurableState = {
  hard: {incarnation: 'a/1', term: 0, mayFound: true},
  base: LOG_START,
  entries: [],
};
export const MEMBER_STATE: DurableState = {
  hard: {incarnation: 'a/1', term: 1, group: 'a/1', mayFound: true},
  base: LOG_START,
  entries: [FIRST_ENTRY],
};

/**
 * The core of instance a in a group of a, b and c. Writes are synced at once.
 */
export class DrivenCore {
  now = 0;
  private readonly core: RaftCore;
  private ticket = 0;

  constructor(
    durable: DurableState,
    private readonly syncsAtOnce = true,
    options: CoreOptions = CORE_OPTIONS
  ) {
    this.core = new RaftCore(options, durable, 0);
  }

  get status() {
    return this.core.status();
  }

  step(event: CoreEvent): readonly CoreEffect[] {
    const effects = this.core.step(event, this.now);
    const last = effects.findLast(effect => effect.kind === 'persist');
    if (last?.kind !== 'persist' || !this.syncsAtOnce) return effects;
    return [...effects, ...this.step({kind: 'synced', seq: last.seq})];
  }

  after(ms: number): readonly CoreEffect[] {
    this.now += ms;
    return this.step({kind: 'tick'});
  }

  request(message: CoreRequest): readonly CoreEffect[] {
    return this.step({kind: 'request', ticket: ++this.ticket, message});
  }

  answer(from: string, message: CoreReply): readonly CoreEffect[] {
    return this.step({kind: 'reply', from, message});
  }

  grantVote(incarnation: string, preVote: boolean): readonly CoreEffect[] {
    const {term} = this.status;
    return this.answer(incarnation.slice(0, 1), {
      kind: 'vote',
      incarnation,
      asker: 'a/1',
      preVote,
      askedTerm: preVote ? term + 1 : term,
      term,
      granted: true,
    });
  }

  reportMatch(
    incarnation: string,
    matchIndex: number,
    change: Partial<ReplyOf<'progress'>> = {}
  ): readonly CoreEffect[] {
    return this.answer(incarnation.slice(0, 1), {
      kind: 'progress',
      incarnation,
      asker: 'a/1',
      askedTerm: this.status.term,
      term: this.status.term,
      ok: true,
      matchIndex,
      hint: 0,
      received: 0,
      seq: 0,
      round: 0,
      sentAt: this.now,
      ...change,
    });
  }

  becomeLeader(): void {
    this.after(electionMaxMs);
    this.grantVote('b/1', true);
    this.grantVote('b/1', false);
    expect(this.status.role).toBe('leader');
  }
}

export const sentRequests = (
  effects: readonly CoreEffect[],
  kind: CoreRequest['kind']
) =>
  effects.filter(
    effect => effect.kind === 'send' && effect.message.kind === kind
  );

export const appendFromLeader = (change: object): CoreRequest =>
  ({
    kind: 'append',
    from: 'b',
    fromIncarnation: 'b/1',
    toIncarnation: 'a/1',
    group: 'a/1',
    term: 2,
    seq: 1,
    round: 0,
    sentAt: 0,
    prevIndex: 0,
    prevTerm: 0,
    entries: [],
    commitIndex: 0,
    ...change,
  }) as CoreRequest;
