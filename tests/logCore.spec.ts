import {DEFAULT_TIMING} from '../src/control/log/coreEvents';
import type {RequestOf} from '../src/control/log/messages';
import {
  CONFIGURATION,
  DrivenCore,
  FIRST_ENTRY,
  MEMBER_STATE,
  VOTERS,
  appendFromLeader,
  noopEntry,
  sentRequests,
} from './drivenCore';

const {electionMaxMs, checkQuorumMs, heartbeatMs} = DEFAULT_TIMING;

describe('core of the replicated log', () => {
  // If a candidate crashed before its own vote was durable, it could restart
  // and vote for another candidate in the same term. Two leaders would then
  // accept changes. So votes are requested only after the sync.
  it('should ask for votes only once its own vote is durable', () => {
    const driven = new DrivenCore(MEMBER_STATE, false);
    driven.after(electionMaxMs);
    const effects = driven.grantVote('b/1', true);
    expect(effects.map(({kind}) => kind)).toEqual(['persist']);
    const synced = driven.step({kind: 'synced', seq: 1});
    expect(sentRequests(synced, 'vote')).toHaveLength(2);
  });

  // While syncs took longer than the retry timeout, each attempt discarded the vote
  // of the one before, and nobody ever led.
  it('should not stand again while its own vote is being stored', () => {
    const driven = new DrivenCore(MEMBER_STATE, false);
    driven.after(electionMaxMs);
    driven.grantVote('b/1', true);
    driven.after(10 * electionMaxMs);
    expect(driven.status.term).toBe(2);
    driven.step({kind: 'synced', seq: 1});
    driven.grantVote('b/1', false);
    expect(driven.status.role).toBe('leader');
  });

  // A vote that a slow disk stored after the candidate's retry timeout was lost, and
  // the next term needed another sync of the same disk.
  it('should count a vote that comes after the retry timeout', () => {
    const driven = new DrivenCore(MEMBER_STATE);
    driven.after(electionMaxMs);
    driven.grantVote('b/1', true);
    const effects = driven.after(electionMaxMs);
    expect(sentRequests(effects, 'vote')).toHaveLength(2);
    driven.grantVote('b/1', false);
    expect(driven.status).toMatchObject({role: 'leader', term: 2});
  });

  // Another instance leads in the term. A vote that arrives late must not make a
  // second leader, with the quorum of a configuration that came meanwhile.
  it('should count no late vote once it follows a leader of the term', () => {
    const driven = new DrivenCore(MEMBER_STATE);
    driven.after(electionMaxMs);
    driven.grantVote('b/1', true);
    driven.request(appendFromLeader({}));
    driven.grantVote('c/1', false);
    expect(driven.status).toMatchObject({role: 'follower', leaderId: 'b'});
  });

  // A candidate that gets no replies asks again and again. If each request restarted
  // the timer of its voter, that would never stand itself.
  it('should stand although its candidate repeats the request for its vote', () => {
    const driven = new DrivenCore(MEMBER_STATE);
    const header = {fromIncarnation: 'b/1', toIncarnation: 'a/1', group: 'a/1'};
    const log = {lastIndex: 1, lastTerm: 1};
    const sent = [0, 500, 1_000, 1_500].flatMap(at => {
      driven.now = at;
      const vote = {kind: 'vote' as const, from: 'b', ...header, ...log};
      return driven.request({...vote, term: 2});
    });
    expect(sentRequests(sent, 'preVote')).not.toHaveLength(0);
  });

  // An election in the next term deposed a candidate as soon as slow disks had
  // stored its votes, again and again.
  it('should deny a pre-vote while it stores its vote for another candidate', () => {
    const driven = new DrivenCore(MEMBER_STATE, false);
    const header = {fromIncarnation: 'b/1', toIncarnation: 'a/1', group: 'a/1'};
    const log = {lastIndex: 1, lastTerm: 1};
    driven.request({kind: 'vote', from: 'b', ...header, ...log, term: 2});
    const asked = {...header, ...log, term: 3, kind: 'preVote' as const};
    driven.request({...asked, from: 'c', fromIncarnation: 'c/1'});
    driven.request({...asked, from: 'b'});
    driven.now += electionMaxMs;
    const replies = driven.step({kind: 'synced', seq: 1});
    expect(replies).toMatchObject([
      {message: {preVote: false, granted: true}},
      {message: {preVote: true, granted: false}},
      {message: {preVote: true, granted: true}},
    ]);
  });

  // An accepted change could be lost: a new leader counts an entry of an
  // earlier term on a majority, commits it and crashes. An instance with a
  // later term that never received the entry may still be elected and replace
  // it.
  it('should commit entries of earlier terms only together with one of its own', () => {
    const hard = {...MEMBER_STATE.hard, term: 3};
    const entries = [FIRST_ENTRY, noopEntry(2, 2)];
    const driven = new DrivenCore({...MEMBER_STATE, hard, entries});
    driven.becomeLeader();
    driven.reportMatch('b/1', 2);
    expect(driven.status.commitIndex).toBe(0);
    driven.reportMatch('b/1', 3);
    expect(driven.status.commitIndex).toBe(3);
  });

  // Instance b lost its disk and replies under its old id. If its vote counted
  // as that of the old b, it could elect a leader that lacks entries which the
  // old b helped to commit.
  it('should not count the vote of a wiped instance', () => {
    const driven = new DrivenCore(MEMBER_STATE);
    driven.after(electionMaxMs);
    driven.grantVote('b/2', true);
    expect(driven.status.term).toBe(1);
    driven.grantVote('b/1', true);
    driven.grantVote('b/2', false);
    expect(driven.status.role).toBe('candidate');
    driven.grantVote('b/1', false);
    expect(driven.status.role).toBe('leader');
  });

  // Instance c lost its disk while it was a voter. Entries stored by its new
  // incarnation must not count for the old one: only b's copy makes the entry
  // survive the loss of the leader.
  it('should not count the copy of a wiped instance', () => {
    const driven = new DrivenCore(MEMBER_STATE);
    driven.becomeLeader();
    driven.answer('c', {
      kind: 'stranger',
      incarnation: 'c/2',
      addressed: 'c/1',
      group: undefined,
    });
    driven.reportMatch('c/2', 2);
    expect(driven.status.commitIndex).toBe(0);
    driven.reportMatch('b/1', 2);
    expect(driven.status.commitIndex).toBe(2);
  });

  // Before it has committed an entry of its own term, a new leader may base a
  // membership change on a configuration that another leader has replaced. The
  // quorums of the two configurations then need not overlap.
  it('should change members only after committing an entry of its own term', () => {
    const snapshot = {
      index: 1,
      term: 1,
      configuration: CONFIGURATION,
      data: '',
    };
    const base = {index: 1, term: 1};
    const driven = new DrivenCore({
      ...MEMBER_STATE,
      snapshot,
      base,
      entries: [],
    });
    driven.becomeLeader();
    driven.answer('c', {
      kind: 'stranger',
      incarnation: 'c/2',
      addressed: 'c/1',
      group: undefined,
    });
    driven.reportMatch('c/2', 2);
    expect(driven.status.voters).toEqual(VOTERS);
    driven.reportMatch('b/1', 2);
    expect(driven.status.voters).toEqual(VOTERS.slice(0, 2));
  });

  // The leader process is paused and resumed while another instance has become
  // the leader. Proposals accepted by the old leader would wait in vain, and a
  // status page would show two leaders. So it steps down before it handles
  // anything.
  it('should not lead any more when it wakes up after a pause', () => {
    const driven = new DrivenCore(MEMBER_STATE);
    driven.becomeLeader();
    driven.reportMatch('b/1', 2);
    driven.now += checkQuorumMs;
    const command = {kind: 'noop'} as const;
    const effects = driven.step({kind: 'propose', ticket: 7, command});
    expect(effects.map(({kind}) => kind)).toEqual([
      'leadershipLost',
      'refused',
    ]);
    expect(driven.status.role).toBe('follower');
  });

  // A caller could read stale state. A message from an earlier leadership of
  // this instance reaches a peer late, and the peer replies in its current
  // term. Taken for a reply to the current read round, it would confirm a round
  // that no quorum has received, while another leader has committed more.
  it.each([{askedTerm: 2}, {asker: 'a/0'}])(
    'should not confirm a read by a reply to an earlier term or incarnation: %j',
    change => {
      const driven = new DrivenCore({
        ...MEMBER_STATE,
        hard: {...MEMBER_STATE.hard, term: 3},
      });
      driven.becomeLeader();
      driven.reportMatch('b/1', 2);
      driven.step({kind: 'readBarrier', ticket: 7});
      const round = {round: 73};
      expect(driven.reportMatch('b/1', 2, {...round, ...change})).toEqual([]);
      expect(driven.reportMatch('b/1', 2, {round: 1})).toMatchObject([
        {kind: 'readReady', ticket: 7, index: 2},
      ]);
    }
  );

  // Its heartbeats reach the others and prevent an election, but a one-way
  // partition loses their replies, so nothing can be committed.
  it('should step down when no quorum answers', () => {
    const driven = new DrivenCore(MEMBER_STATE);
    driven.becomeLeader();
    for (let ms = 0; ms <= checkQuorumMs; ms += heartbeatMs)
      driven.after(heartbeatMs);
    expect(driven.status.role).toBe('follower');
  });

  // A partitioned instance keeps trying to be elected. If its term rose with
  // each attempt, it would depose a working leader on its return, and
  // repeatedly if the partition is one-way.
  it('should not raise its term while nobody answers', () => {
    const driven = new DrivenCore(MEMBER_STATE);
    for (let round = 0; round < 10; round++) {
      const effects = driven.after(electionMaxMs);
      expect(sentRequests(effects, 'preVote')).toHaveLength(2);
    }
    expect(driven.status.term).toBe(1);
  });

  it('should start an election soon after the leader of its term resigns, and only then', () => {
    const driven = new DrivenCore(MEMBER_STATE);
    driven.request(appendFromLeader({prevIndex: 1, prevTerm: 1}));
    const {from, fromIncarnation, toIncarnation, group} = appendFromLeader(
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
    expect(sentRequests(driven.after(heartbeatMs), 'preVote')).toEqual([]);
    resign(2);
    expect(sentRequests(driven.after(heartbeatMs), 'preVote')).toHaveLength(2);
  });

  it('should deny a pre-vote and a vote while its leader is active', () => {
    const driven = new DrivenCore(MEMBER_STATE);
    driven.request(appendFromLeader({prevIndex: 1, prevTerm: 1}));
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
