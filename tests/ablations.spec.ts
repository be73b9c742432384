import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {changeText} from '../bench/textChange';

const ROOT = path.join(__dirname, '..');

interface Ablation {
  readonly name: string;
  readonly changes: readonly {readonly file: string; readonly find: string}[];
}

describe('list of ablations', () => {
  // If a mechanism is renamed, the text that removes it matches nowhere. Runs
  // with and without the mechanism would then compare the same code.
  it('should match the sources exactly once for each change', () => {
    const list = readFileSync(path.join(ROOT, 'bench', 'ablations.json'));
    const ablations = JSON.parse(list.toString()) as readonly Ablation[];
    for (const {name, changes} of ablations)
      for (const {file, find} of changes) {
        const text = readFileSync(path.join(ROOT, file), 'utf8');
        expect({name, matches: text.split(find).length - 1}).toEqual({
          name,
          matches: 1,
        });
      }
  });

  it('should reject a change that matches nowhere, and undo one that matches', () => {
    const dir = mkdtempSync(path.join(tmpdir(), 'marlpulley-change-'));
    const file = path.join(dir, 'a.txt');
    writeFileSync(file, 'one two');
    const change = {file: 'a.txt', find: 'two', replace: 'three'};
    expect(changeText(dir, {...change, find: 'four'})).toContain('0 times');
    const undo = changeText(dir, change);
    expect(readFileSync(file, 'utf8')).toBe('one three');
    if (typeof undo !== 'string') undo();
    expect(readFileSync(file, 'utf8')).toBe('one two');
    rmSync(dir, {recursive: true});
  });
});
