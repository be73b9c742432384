import {RulesState} from '../src/control/state/rulesState';

function submit(state: RulesState, revision: number, text: string) {
  const command = {revision, text, digest: text, submittedBy: text};
  return state.apply({kind: 'submit', ...command});
}

describe('accepted rule files', () => {
  // Control has lost all its disks, but entries and agents still hold revision
  // 12 and reject lower ones. Operators would see "accepted" while no process
  // applies the file. The first file may therefore have any revision number;
  // each later one must increase it by 1.
  it('should accept the first file under any revision, then each next one', () => {
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
