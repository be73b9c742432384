import {existsSync, readFileSync} from 'node:fs';
import path from 'node:path';

const PAGE = readFileSync(
  path.join(__dirname, '..', 'docs', 'PROMISES.md'),
  'utf8'
);
const FAULTS = [
  'kill',
  'freeze',
  'cut both ways',
  'cut one way',
  'late or reordered',
  'lost disk',
  'restart far behind',
  'operator race',
  'two at once',
];
const SECTIONS = PAGE.split(/^## /m)
  .slice(1)
  .filter(section => section.includes('| Fault |'));
const NAMED = /`([\w/]+\.spec\.ts)` (should [^;|]+?)(?= *(?:[;|]|covers|$))/gm;

function rows(section: string): readonly (readonly string[])[] {
  return section
    .split('\n')
    .filter(line => line.startsWith('| '))
    .slice(2)
    .map(line => line.split('|').map(cell => cell.trim()));
}

/** Every name of a test in a spec, also those built for a table of cases. */
function testNames(spec: string): readonly string[] {
  const file = path.join(__dirname, spec);
  if (!existsSync(file)) return [];
  const text = readFileSync(file, 'utf8');
  return [...text.matchAll(/(['`])(should (?:(?!\1)[^\n])*)\1/g)].map(
    match => match[2] ?? ''
  );
}

describe('page of promises', () => {
  it('should hold nine promises under each of the nine faults', () => {
    expect(SECTIONS).toHaveLength(9);
    for (const section of SECTIONS)
      expect(rows(section).map(row => row[1])).toEqual(FAULTS);
  });

  it('should name a test, a reason or a gap in every cell', () => {
    const cells = SECTIONS.flatMap(rows).map(row => row[2] ?? '');
    const empty = cells.filter(
      cell =>
        !/^(cannot apply: \w|not shown yet)/.test(cell) &&
        [...cell.matchAll(NAMED)].length !== cell.split(';').length
    );
    expect(empty).toEqual([]);
  });

  it('should name tests that exist', () => {
    const missing = [...PAGE.matchAll(NAMED)]
      .filter(
        ([, spec = '', name = '']) =>
          !testNames(spec).some(known => known.startsWith(name))
      )
      .map(([whole]) => whole);
    expect(missing).toEqual([]);
  });
});
