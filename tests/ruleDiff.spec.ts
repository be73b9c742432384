import fc from 'fast-check';
import {applyDiff, diffRules} from '../src/rules/ruleDiff';

const line = fc.constantFrom('', 'a', 'b', 'c', 'd', 'e # asked by A');
const text = fc
  .array(fc.oneof(line, fc.string({maxLength: 4})), {maxLength: 30})
  .map(lines => lines.join('\n'));

describe('difference of rule files', () => {
  it('should turn any text into any other', () => {
    fc.assert(
      fc.property(text, text, (a, b) => {
        const from = {revision: 1, text: a};
        const to = {revision: 2, text: b};
        expect(applyDiff(from, diffRules(from, to))).toEqual(to);
      }),
      {seed: 11, numRuns: 500}
    );
  });

  it('should carry only the lines that changed', () => {
    const lines = Array.from({length: 1000}, (_, n) => `line ${n}`);
    const from = {revision: 1, text: lines.join('\n')};
    const edited = [...lines.slice(0, 2), 'new', ...lines.slice(3, 900)];
    const to = {revision: 2, text: edited.join('\n')};
    expect(diffRules(from, to).changes).toEqual([
      {at: 900, removed: 100, added: []},
      {at: 2, removed: 1, added: ['new']},
    ]);
  });

  // Messages may overtake each other, so a process with revision 5 may receive
  // the difference from 6 to 7. Applying it would activate a file that nobody
  // accepted; the process has to request the whole file instead.
  it('should reject a text that it was not made for', () => {
    const diff = diffRules({revision: 6, text: 'a'}, {revision: 7, text: 'b'});
    expect(applyDiff({revision: 5, text: 'a'}, diff)).toBeUndefined();
    expect(applyDiff({revision: 6, text: 'x'}, diff)).toBeUndefined();
  });

  it('should reject a result other than the accepted text', () => {
    const from = {revision: 6, text: 'a'};
    const diff = diffRules(from, {revision: 7, text: 'b'});
    const corrupted = {...diff, changes: [{at: 0, removed: 1, added: ['c']}]};
    expect(applyDiff(from, corrupted)).toBeUndefined();
  });
});
