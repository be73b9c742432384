import {existsSync, readFileSync, readdirSync} from 'node:fs';
import path from 'node:path';
import {EXIT_CODES} from '../src/cli/exitCodes';
import {METRICS} from '../src/core/metrics';
import {REFUSALS} from '../src/core/refusal';
import {parseRules} from '../src/rules/parseRules';
import {RULE_FIELDS} from '../src/rules/ruleSchema';
import {describeSettings} from '../src/settings/describeSettings';

const ROOT = path.join(__dirname, '..');
const SKIPPED_FOLDERS = new Set(['node_modules', 'dist', '.git', 'coverage']);

function markdownFiles(folder: string): readonly string[] {
  return readdirSync(folder, {withFileTypes: true}).flatMap(entry => {
    if (SKIPPED_FOLDERS.has(entry.name)) return [];
    const file = path.join(folder, entry.name);
    if (entry.isDirectory()) return markdownFiles(file);
    return entry.name.endsWith('.md') ? [file] : [];
  });
}

const OPERATORS_PAGE = readFileSync(
  path.join(ROOT, 'docs', 'OPERATORS.md'),
  'utf8'
);

/** Rows of the first table below a heading, without backticks and padding. */
function firstTableBelow(heading: string): readonly (readonly string[])[] {
  const start = OPERATORS_PAGE.indexOf(`# ${heading}\n`);
  if (start < 0) throw new Error(`no heading "${heading}"`);
  const [, tableText = ''] = OPERATORS_PAGE.slice(start).split(/\n\n(?=\|)/);
  const lines = (tableText.split('\n\n')[0] ?? '').trim().split('\n');
  return lines
    .slice(2)
    .map(line => line.split('|').slice(1, -1))
    .map(cells => cells.map(cell => cell.trim().replaceAll('`', '')));
}

describe('the oldest runtime', () => {
  // `engines` named one on which a node could not open its log.
  it('should be the one that the tests run on, and that the README names', () => {
    const read = (file: string) => readFileSync(path.join(ROOT, file), 'utf8');
    const runtimes = JSON.parse(read('runtimes/package.json'));
    const {engines} = JSON.parse(read('package.json'));
    const versions = new Set(Object.values(runtimes.optionalDependencies));
    expect(versions.size).toBe(1);
    const [oldest = ''] = versions as Set<string>;
    expect(engines.node).toBe(`^${oldest}`);
    const [major, minor] = oldest.split('.');
    expect(read('README.md')).toContain(`Node ${major}.${minor} or later`);
  });
});

describe('page for operators', () => {
  it.each(['entry', 'agent', 'control', 'node', 'client'] as const)(
    'should list every setting of %s with default, range and meaning',
    role => {
      const expected = describeSettings(role).map(key => [
        key.section,
        key.key,
        key.required ? 'required' : (key.defaultValue ?? 'none'),
        key.range,
        key.meaning,
      ]);
      expect(firstTableBelow(`Settings of ${role}`)).toEqual(expected);
    }
  );

  it('should list every value of every rule with its range', () => {
    const expected = [...RULE_FIELDS].flatMap(([word, fields]) =>
      fields.map(field => [
        word,
        field.key,
        field.optional ? 'no' : 'yes',
        field.range,
      ])
    );
    expect(firstTableBelow('Values').map(row => row.slice(0, 4))).toEqual(
      expected
    );
  });

  it('should list every refusal and what to do about it', () => {
    const expected = Object.entries(REFUSALS).map(([reason, kind]) => [
      reason,
      String(kind.status),
      kind.outcome,
      kind.retryable ? 'yes' : 'no',
      kind.meaning,
    ]);
    const rows = firstTableBelow('Refusals');
    expect(rows.map(row => row.slice(0, 5))).toEqual(expected);
    for (const row of rows) expect(row[5]).toMatch(/\w/);
  });

  it('should list every counter', () => {
    expect(firstTableBelow('Counters')).toEqual(Object.entries(METRICS));
  });

  it('should list every exit code of the client', () => {
    expect(
      firstTableBelow('Exit codes of the client').map(row => row[0])
    ).toEqual(Object.values(EXIT_CODES).map(String));
  });

  it('should show a rule file that is accepted', () => {
    const [, example = ''] = OPERATORS_PAGE.split(/```text\n(?=revision)/);
    expect(parseRules(example.split('```')[0] ?? '')).toMatchObject({ok: true});
  });
});

describe('pages', () => {
  it.each(markdownFiles(ROOT).map(file => path.relative(ROOT, file)))(
    'should hold no broken relative link in %s',
    file => {
      const text = readFileSync(path.join(ROOT, file), 'utf8');
      const links = [...text.matchAll(/\]\(([^)#\s]+)(?:#[^)]*)?\)/g)]
        .map(match => match[1] ?? '')
        .filter(link => !/^[a-z]+:/.test(link));
      const broken = links.filter(
        link => !existsSync(path.join(ROOT, path.dirname(file), link))
      );
      expect(broken).toEqual([]);
    }
  );
});
