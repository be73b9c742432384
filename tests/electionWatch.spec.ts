import {CORE_OPTIONS, DrivenCore, MEMBER_STATE} from './drivenCore';

const STEP_MS = 100;

describe('reports of the replicated log', () => {
  // Without it the logs of a group that elects no leader do not tell whether voters
  // are gone, have another disk or deny.
  it('should tell from time to time why no leader is elected', () => {
    const core = new DrivenCore(MEMBER_STATE);
    const stalls: {at: number; stall: object}[] = [];
    while (core.now < 8_000) {
      for (const effect of core.after(STEP_MS))
        if (effect.kind === 'electionStalled')
          stalls.push({at: core.now, stall: effect.stall});
      if (core.now > 4_000)
        core.answer('c', {
          kind: 'stranger',
          incarnation: 'c/2',
          addressed: 'c/1',
        });
    }
    const noReply = {kind: 'noReply'};
    const wiped = {kind: 'otherIncarnation', incarnation: 'c/2'};
    const common = {term: 1, quorum: 2, granted: ['a']};
    expect(stalls).toMatchObject([
      {at: 2_100, stall: {...common, others: {b: noReply, c: noReply}}},
      {at: 7_100, stall: {...common, others: {b: noReply, c: wiped}}},
    ]);
  });

  it('should not report while a leader is known', () => {
    const core = new DrivenCore(MEMBER_STATE);
    core.becomeLeader();
    while (core.now < 4_000) {
      core.reportMatch('b/1', 1);
      const kinds = core.after(STEP_MS).map(({kind}) => kind);
      expect(kinds).not.toContain('electionStalled');
    }
  });

  it('should state why a voter is removed', () => {
    const voterEviction = {silentMs: 3_000, minVoters: 2};
    const options = {...CORE_OPTIONS, voterEviction};
    const core = new DrivenCore(MEMBER_STATE, true, options);
    core.becomeLeader();
    const changes: object[] = [];
    while (core.now < 8_000) {
      core.after(STEP_MS);
      for (const effect of core.reportMatch('b/1', core.status.lastIndex))
        if (effect.kind === 'votersChanged') changes.push(effect.change);
    }
    expect(changes).toMatchObject([
      {kind: 'removed', id: 'c', reason: 'silent', silentMs: 3_000},
    ]);
  });
});
