import {DEFAULT_TIMING} from '../src/control/log/coreEvents';
import {RaftCore} from '../src/control/log/raftCore';
import {
  DrivenCore,
  EMPTY_STATE,
  MEMBER_STATE,
  CORE_OPTIONS,
  appendFromLeader,
  noopEntry,
  sentRequests,
} from './drivenCore';

const {electionMaxMs} = DEFAULT_TIMING;

describe('founding of a group', () => {
  // The founder loses its disk while it founds, and starts over. A peer that
  // replied "empty" may have stored entries of the first group since, and
  // another may have been wiped after helping to commit them. One round of
  // replies proves nothing; a second round after it does.
  it('should found only when every peer answers twice that it is empty', () => {
    const driven = new DrivenCore(EMPTY_STATE);
    let hellos = sentRequests(driven.after(electionMaxMs), 'hello');
    const answerAll = (incarnations: readonly string[]) => {
      const [first] = hellos;
      if (first?.kind !== 'send' || first.message.kind !== 'hello')
        throw new Error('no hello request was sent');
      const {round} = first.message;
      hellos = incarnations.flatMap(incarnation =>
        sentRequests(
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
    ['is not the lowest id', 'd', EMPTY_STATE],
    [
      'had data that was damaged',
      'a',
      {...EMPTY_STATE, hard: {...EMPTY_STATE.hard, mayFound: false}},
    ],
  ])('should not found when it %s', (_, id, durable) => {
    const core = new RaftCore({...CORE_OPTIONS, id}, durable, 0);
    expect(core.step({kind: 'tick'}, electionMaxMs)).toEqual([]);
  });

  // A founder was wiped right after its election and founded again, so both
  // groups have a term 2. If their entries were mixed, two instances could hold
  // different entries with the same index and term, which Raft would not
  // detect.
  it('should reject entries of another group', () => {
    const driven = new DrivenCore(MEMBER_STATE);
    const other = {group: 'a/2', prevIndex: 1, prevTerm: 1};
    const effects = driven.request(
      appendFromLeader({...other, entries: [noopEntry(2, 2)]})
    );
    expect(effects).toMatchObject([{message: {kind: 'stranger'}}]);
    expect(driven.status.lastIndex).toBe(1);
  });

  it('should abandon a failed founding once another group has committed', () => {
    const driven = new DrivenCore(MEMBER_STATE);
    const other = {group: 'a/2', prevIndex: 1, prevTerm: 1};
    const effects = driven.request(
      appendFromLeader({...other, commitIndex: 1})
    );
    expect(effects[0]).toMatchObject({kind: 'rejoin'});
  });

  it('should never discard committed entries for those of another group', () => {
    const driven = new DrivenCore(MEMBER_STATE);
    driven.request(
      appendFromLeader({prevIndex: 1, prevTerm: 1, commitIndex: 1})
    );
    expect(driven.status.commitIndex).toBe(1);
    const effects = driven.request(
      appendFromLeader({group: 'a/2', commitIndex: 5})
    );
    expect(effects.map(({kind}) => kind)).toEqual(['reply']);
  });
});
