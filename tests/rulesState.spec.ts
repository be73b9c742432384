import {RulesState} from '../src/control/state/rulesState';

function submit(state: RulesState, revision: number, text: string) {
  const command = {revision, text, digest: text, submittedBy: text};
  return state.apply({kind: 'submit', ...command});
}

describe('accepted rule files', () => {
  // Operators would see "accepted" and no process would follow: control lost
  // all its disks, entries and agents still hold revision 12 and take nothing
  // below it. The first file on an empty state may therefore have any number;
  // every later one follows by one.
  it('should take the first file under any number, then one by one', () => {
    const state = new RulesState();
    expect(submit(state, 13, 'a')).toMatchObject({kind: 'accepted'});
    expect(submit(state, 15, 'b')).toMatchObject({kind: 'gap', current: 13});
    expect(submit(state, 14, 'b')).toMatchObject({kind: 'accepted'});
    expect(submit(state, 14, 'c')).toMatchObject({
      kind: 'conflict',
      winner: 'b',
    });
    expect(submit(state, 13, 'a')).toMatchObject({kind: 'superseded'});
    expect(submit(state, 14, 'b')).toMatchObject({resent: true});
  });
});
