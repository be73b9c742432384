import {DEFAULT_TIMING} from '../src/control/log/coreEvents';
import {RaftCore} from '../src/control/log/raftCore';
import {
  Driven,
  EMPTY,
  MEMBER,
  OPTIONS,
  fromLeader,
  noop,
  sent,
} from './drivenLog';

const {electionMaxMs} = DEFAULT_TIMING;

describe('founding of a group', () => {
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
    const core = new RaftCore({...OPTIONS, id}, durable, 0);
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
