import {existsSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {fitLine} from '../bench/capacity/leastSquares';
import {readMeasured} from '../bench/capacity/measured';
import {PAGE_FILE, withTables} from '../bench/capacity/page';

const ROOT = path.join(__dirname, '..');
const PAGE = readFileSync(path.join(ROOT, PAGE_FILE), 'utf8');

describe('capacity page', () => {
  it('should contain the tables computed from the measured file', () => {
    expect(withTables(PAGE, readMeasured(ROOT))).toBe(PAGE);
  });

  it('should differ when a measured figure differs', () => {
    const measured = readMeasured(ROOT);
    const {controlCost} = measured;
    const name = 'leader.load.bytesPerS.slope';
    const ours = {...controlCost.ours, [name]: 1};
    const other = {...measured, controlCost: {...controlCost, ours}};
    expect(withTables(PAGE, other)).not.toBe(PAGE);
  });

  it('should use slopes that fit the measured sizes', () => {
    const {ours} = readMeasured(ROOT).controlCost;
    const names = Object.keys(ours).filter(name => name.endsWith('.slope'));
    expect(names).toHaveLength(24);
    for (const slopeName of names) {
      const name = slopeName.slice(0, -'.slope'.length);
      const points = Object.entries(ours)
        .filter(([key]) => key.startsWith(`${name}.at`))
        .map(([key, y]) => ({x: Number(key.split('.at').at(-1)), y}));
      expect(points).toHaveLength(3);
      const {slope} = fitLine(points);
      const spread = Math.max(...points.map(({y}) => Math.abs(y)));
      expect(Math.abs(slope - ours[slopeName]!)).toBeLessThan(spread * 1e-4);
    }
  });
});

describe('commands named on the pages', () => {
  const {scripts} = JSON.parse(
    readFileSync(path.join(ROOT, 'package.json'), 'utf8')
  ) as {readonly scripts: Readonly<Record<string, string>>};
  const pages = ['README.md', 'CONTRIBUTING.md', PAGE_FILE]
    .filter(name => existsSync(path.join(ROOT, name)))
    .map(name => [name, readFileSync(path.join(ROOT, name), 'utf8')] as const);

  it.each(pages)('should exist in package.json for %s', (_, text) => {
    const named = [...text.matchAll(/\bnpm run ([\w:-]+)/g)].map(m => m[1]);
    expect(named).not.toEqual([]);
    expect(named.filter(name => !(String(name) in scripts))).toEqual([]);
  });
});
