import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {changeText} from '../bench/textChange';

const ROOT = path.join(__dirname, '..');

interface Ablation {
  readonly name: string;
  readonly changes: readonly {readonly file: string; readonly find: string}[];
}

describe('list of what can be taken out', () => {
  // A mechanism is renamed, and the text that takes it out fits nowhere. Days
  // with it and without it would then be days of the same code.
  it('should fit the sources, each change in one place', () => {
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

  it('should refuse a change that fits nowhere, and undo one that fits', () => {
    const dir = mkdtempSync(path.join(tmpdir(), 'marlpulley-change-'));
    const place = path.join(dir, 'a.txt');
    writeFileSync(place, 'one two');
    const change = {file: 'a.txt', find: 'two', replace: 'three'};
    expect(changeText(dir, {...change, find: 'four'})).toContain('0 times');
    const undo = changeText(dir, change);
    expect(readFileSync(place, 'utf8')).toBe('one three');
    if (typeof undo !== 'string') undo();
    expect(readFileSync(place, 'utf8')).toBe('one two');
    rmSync(dir, {recursive: true});
  });
});
