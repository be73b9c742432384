import {DEFAULT_TIMING} from '../src/control/log/coreEvents';
import type {RequestOf} from '../src/control/log/messages';
import {
  CONFIGURATION,
  Driven,
  MEMBER,
  VOTERS,
  fromLeader,
  noop,
  sent,
  ENTRY_1,
} from './drivenLog';

const {electionMaxMs, checkQuorumMs, heartbeatMs} = DEFAULT_TIMING;

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

  // Instance c lost its disk while the leader counted on it. What the empty one
  // stores must not count in the place of what c had stored: only b's copy
  // makes the entry outlive the loss of the leader.
  it('should not count the copy of a wiped instance', () => {
    const driven = new Driven(MEMBER);
    driven.lead();
    driven.answer('c', {
      kind: 'stranger',
      incarnation: 'c/2',
      addressed: 'c/1',
      group: undefined,
    });
    driven.matched('c/2', 2);
    expect(driven.status.commitIndex).toBe(0);
    driven.matched('b/1', 2);
    expect(driven.status.commitIndex).toBe(2);
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

  it('should stand soon after the leader of its term resigns, and only then', () => {
    const driven = new Driven(MEMBER);
    driven.request(fromLeader({prevIndex: 1, prevTerm: 1}));
    const {from, fromIncarnation, toIncarnation, group} = fromLeader(
      {}
    ) as RequestOf<'append'>;
    const resign = (term: number) =>
      driven.request({
        kind: 'resign',
        from,
        fromIncarnation,
        toIncarnation,
        group,
        term,
      });
    resign(1);
    expect(sent(driven.after(heartbeatMs), 'preVote')).toEqual([]);
    resign(2);
    expect(sent(driven.after(heartbeatMs), 'preVote')).toHaveLength(2);
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
});
