import type {CoreEffect, CoreEvent} from '../src/control/log/coreEvents';
import {DEFAULT_TIMING} from '../src/control/log/coreEvents';
import type {DurableState, LogEntry} from '../src/control/log/entry';
import type {
  CoreReply,
  CoreRequest,
  ReplyOf,
} from '../src/control/log/messages';
import {RaftCore} from '../src/control/log/raftCore';

const {electionMaxMs, checkQuorumMs, heartbeatMs} = DEFAULT_TIMING;
const VOTERS = ['a/1', 'b/1', 'c/1'].map(incarnation => ({
  id: incarnation.slice(0, 1),
  incarnation,
}));
const CONFIGURATION = {voters: VOTERS};
const ENTRY_1: LogEntry = {
  index: 1,
  term: 1,
  body: {kind: 'configuration', configuration: CONFIGURATION},
};
const noop = (index: number, term: number): LogEntry => ({
  index,
  term,
  body: {kind: 'command', command: {kind: 'noop'}},
});
const BASE = {index: 0, term: 0};
const EMPTY: DurableState = {
  hard: {incarnation: 'a/1', term: 0, mayFound: true},
  base: BASE,
  entries: [],
};
const MEMBER: DurableState = {
  hard: {incarnation: 'a/1', term: 1, group: 'a/1', mayFound: true},
  base: BASE,
  entries: [ENTRY_1],
};

/** Instance a of a, b and c, driven by hand; writes are synced at once. */
class Driven {
  now = 0;
  private readonly core: RaftCore;
  private ticket = 0;

  constructor(
    durable: DurableState,
    private readonly syncs = true
  ) {
    const options = {
      id: 'a',
      peerIds: ['b', 'c'],
      random: () => 0.5,
      timing: DEFAULT_TIMING,
      batchEntries: 64,
      batchChars: 10_000,
      chunkChars: 10_000,
      trailingEntries: 0,
    };
    this.core = new RaftCore(options, durable, 0);
  }

  get status() {
    return this.core.status();
  }

  step(event: CoreEvent): readonly CoreEffect[] {
    const effects = this.core.step(event, this.now);
    const last = effects.findLast(effect => effect.kind === 'persist');
    if (last?.kind !== 'persist' || !this.syncs) return effects;
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

  grant(incarnation: string, preVote: boolean): readonly CoreEffect[] {
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

  matched(
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

  lead(): void {
    this.after(electionMaxMs);
    this.grant('b/1', true);
    this.grant('b/1', false);
    expect(this.status.role).toBe('leader');
  }
}

const sent = (effects: readonly CoreEffect[], kind: CoreRequest['kind']) =>
  effects.filter(
    effect => effect.kind === 'send' && effect.message.kind === kind
  );

const fromLeader = (change: object): CoreRequest =>
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

describe('core of the replicated log', () => {
  // A candidate asks for votes, crashes before its own vote is on the disk,
  // comes back and votes for another in the same term: two leaders, and
  // callers of both are told "accepted". So nobody is asked before the sync.
  it('should ask for votes only once its own vote is durable', () => {
    const driven = new Driven(MEMBER, false);
    driven.after(electionMaxMs);
    const effects = driven.grant('b/1', true);
    expect(effects.map(({kind}) => kind)).toEqual(['persist']);
    const synced = driven.step({kind: 'synced', seq: 1});
    expect(sent(synced, 'vote')).toHaveLength(2);
  });

  // A caller's accepted change vanishes: a new leader finds an old entry on a
  // majority, calls it committed and dies; an instance with a later term that
  // never saw the entry may still win and replace it.
  it('should commit entries of earlier terms only together with one of its own', () => {
    const hard = {...MEMBER.hard, term: 3};
    const entries = [ENTRY_1, noop(2, 2)];
    const driven = new Driven({...MEMBER, hard, entries});
    driven.lead();
    driven.matched('b/1', 2);
    expect(driven.status.commitIndex).toBe(0);
    driven.matched('b/1', 3);
    expect(driven.status.commitIndex).toBe(3);
  });

  // Instance b lost its disk and answers under its old id. Counted as the old
  // b it would elect a leader that lacks what the old b had helped to accept.
  it('should not count the vote of a wiped instance', () => {
    const driven = new Driven(MEMBER);
    driven.after(electionMaxMs);
    driven.grant('b/2', true);
    expect(driven.status.term).toBe(1);
    driven.grant('b/1', true);
    driven.grant('b/2', false);
    expect(driven.status.role).toBe('candidate');
    driven.grant('b/1', false);
    expect(driven.status.role).toBe('leader');
  });

  // A new leader changes the members before it knows what earlier terms left:
  // the change may rest on a configuration that another leader has replaced,
  // and the quorums of both then need not overlap.
  it('should change members only after committing an entry of its own term', () => {
    const snapshot = {
      index: 1,
      term: 1,
      configuration: CONFIGURATION,
      data: '',
    };
    const base = {index: 1, term: 1};
    const driven = new Driven({...MEMBER, snapshot, base, entries: []});
    driven.lead();
    driven.answer('c', {
      kind: 'stranger',
      incarnation: 'c/2',
      addressed: 'c/1',
      group: undefined,
    });
    driven.matched('c/2', 2);
    expect(driven.status.voters).toEqual(VOTERS);
    driven.matched('b/1', 2);
    expect(driven.status.voters).toEqual(VOTERS.slice(0, 2));
  });

  // The leader is stopped for a while and wakes up: callers still reach it,
  // while another leads. What it takes in then would wait, or a status page
  // would name two leaders; so it steps down before it handles anything.
  it('should not lead any more when it wakes up after a pause', () => {
    const driven = new Driven(MEMBER);
    driven.lead();
    driven.matched('b/1', 2);
    driven.now += checkQuorumMs;
    const command = {kind: 'noop'} as const;
    const effects = driven.step({kind: 'propose', ticket: 7, command});
    expect(effects.map(({kind}) => kind)).toEqual([
      'leadershipLost',
      'refused',
    ]);
    expect(driven.status.role).toBe('follower');
  });

  // A caller reads old state. The leader led once before, and a message of
  // that time comes to a peer only now; the peer answers it in its present
  // term. Taken for an answer to this term's read round, it would confirm a
  // round that no quorum has seen, while another leader has gone on.
  it.each([{askedTerm: 2}, {asker: 'a/0'}])(
    'should not confirm a read by an answer to an earlier life: %j',
    change => {
      const driven = new Driven({...MEMBER, hard: {...MEMBER.hard, term: 3}});
      driven.lead();
      driven.matched('b/1', 2);
      driven.step({kind: 'readBarrier', ticket: 7});
      const round = {round: 73};
      expect(driven.matched('b/1', 2, {...round, ...change})).toEqual([]);
      expect(driven.matched('b/1', 2, {round: 1})).toMatchObject([
        {kind: 'readReady', ticket: 7, index: 2},
      ]);
    }
  );

  // A cut in one direction only: its heartbeats go out and keep the others
  // from electing anyone, but no answer comes back, so nothing commits.
  it('should step down when no quorum answers', () => {
    const driven = new Driven(MEMBER);
    driven.lead();
    for (let ms = 0; ms <= checkQuorumMs; ms += heartbeatMs)
      driven.after(heartbeatMs);
    expect(driven.status.role).toBe('follower');
  });

  // An instance that is cut off keeps trying to be elected. Were its term to
  // rise meanwhile, it would unseat a working leader on its return, and over
  // and over when it hears in one direction only.
  it('should not raise its term while nobody answers', () => {
    const driven = new Driven(MEMBER);
    for (let round = 0; round < 10; round++) {
      const effects = driven.after(electionMaxMs);
      expect(sent(effects, 'preVote')).toHaveLength(2);
    }
    expect(driven.status.term).toBe(1);
  });

  it('should refuse a pre-vote and a vote while it hears a leader', () => {
    const driven = new Driven(MEMBER);
    driven.request(fromLeader({prevIndex: 1, prevTerm: 1}));
    for (const kind of ['preVote', 'vote'] as const) {
      const {from, group, toIncarnation} = {
        from: 'c',
        group: 'a/1',
        toIncarnation: 'a/1',
      };
      const effects = driven.request({
        kind,
        from,
        fromIncarnation: 'c/1',
        toIncarnation,
        group,
        term: 9,
        lastIndex: 9,
        lastTerm: 9,
      });
      expect(effects).toMatchObject([{message: {granted: false, term: 2}}]);
    }
  });

  // The founder loses its disk while it founds, and starts over. A peer that
  // answered "empty" once may have taken entries since, and another may have
  // been wiped after helping to commit them: one round of answers proves
  // nothing, a second one after it does.
  it('should found only when every peer answers twice that it is empty', () => {
    const driven = new Driven(EMPTY);
    let asked = sent(driven.after(electionMaxMs), 'hello');
    const answerAll = (incarnations: readonly string[]) => {
      const [first] = asked;
      if (first?.kind !== 'send' || first.message.kind !== 'hello')
        throw new Error('nobody was asked');
      const {round} = first.message;
      asked = incarnations.flatMap(incarnation =>
        sent(
          driven.answer(incarnation.slice(0, 1), {
            kind: 'hello',
            incarnation,
            round,
            empty: true,
          }),
          'hello'
        )
      );
    };
    answerAll(['b/1', 'c/1']);
    expect(driven.status.voters).toEqual([]);
    answerAll(['b/2', 'c/1']);
    expect(driven.status.voters).toEqual([]);
    answerAll(['b/2', 'c/1']);
    expect(driven.status.voters.map(voter => voter.incarnation)).toEqual([
      'a/1',
      'b/2',
      'c/1',
    ]);
  });

  it.each([
    ['is not the lowest id', 'd', EMPTY],
    [
      'had data that was damaged',
      'a',
      {...EMPTY, hard: {...EMPTY.hard, mayFound: false}},
    ],
  ])('should not found when it %s', (_, id, durable) => {
    const options = {
      id,
      peerIds: ['b', 'c'],
      random: () => 0.5,
      timing: DEFAULT_TIMING,
      batchEntries: 64,
      batchChars: 10_000,
      chunkChars: 10_000,
      trailingEntries: 0,
    };
    const core = new RaftCore(options, durable, 0);
    expect(core.step({kind: 'tick'}, electionMaxMs)).toEqual([]);
  });

  // A founder was wiped right after its election and founded again; both
  // groups have a term 2. Were their entries mixed, two instances would hold
  // different entries under the same index and term, and never notice.
  it('should take no entries of another group', () => {
    const driven = new Driven(MEMBER);
    const other = {group: 'a/2', prevIndex: 1, prevTerm: 1};
    const effects = driven.request(
      fromLeader({...other, entries: [noop(2, 2)]})
    );
    expect(effects).toMatchObject([{message: {kind: 'stranger'}}]);
    expect(driven.status.lastIndex).toBe(1);
  });

  it('should leave a failed founding once another group has committed', () => {
    const driven = new Driven(MEMBER);
    const other = {group: 'a/2', prevIndex: 1, prevTerm: 1};
    const effects = driven.request(fromLeader({...other, commitIndex: 1}));
    expect(effects[0]).toMatchObject({kind: 'rejoin'});
  });

  it('should never give up what it knows to be committed for another group', () => {
    const driven = new Driven(MEMBER);
    driven.request(fromLeader({prevIndex: 1, prevTerm: 1, commitIndex: 1}));
    expect(driven.status.commitIndex).toBe(1);
    const effects = driven.request(fromLeader({group: 'a/2', commitIndex: 5}));
    expect(effects.map(({kind}) => kind)).toEqual(['reply']);
  });
});
