/**
 * `npm run mutants [-- AREA]`: takes one safeguard away at a time and expects
 * the named test to go red. The lists stand in bench/mutants, one an area.
 */

import {spawnSync} from 'node:child_process';
import {
  existsSync,
  mkdtempSync,
  readFileSync,
  readdirSync,
  rmSync,
  symlinkSync,
  cpSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import * as z from 'zod';
import {TEXT_CHANGE, changeText} from './textChange';

const MUTANT = TEXT_CHANGE.extend({
  /** Promise of the brief that the safeguard serves. */
  promise: z.string(),
  /** What is taken away. */
  safeguard: z.string(),
  /** Spec file, and a part of the test's name. */
  test: z.string(),
  name: z.string(),
});
type Mutant = z.infer<typeof MUTANT>;

const ROOT = process.cwd();
const COPIED = [
  'src',
  'platform',
  'deploy',
  'tests',
  'bench',
  'fakes',
  'examples',
  'docs',
  'jest.config.cjs',
  'package.json',
  'tsconfig.json',
];

/** A scratch copy of the sources, so that the work tree is never touched. */
function scratchCopy(): string {
  const dir = mkdtempSync(path.join(tmpdir(), 'marlpulley-mutants-'));
  for (const name of COPIED.filter(name => existsSync(path.join(ROOT, name))))
    cpSync(path.join(ROOT, name), path.join(dir, name), {recursive: true});
  symlinkSync(path.join(ROOT, 'node_modules'), path.join(dir, 'node_modules'));
  return dir;
}

function runTest(
  dir: string,
  mutant: Mutant
): {readonly failed: boolean; readonly ran: boolean} {
  const jest = path.join(ROOT, 'node_modules', 'jest', 'bin', 'jest.js');
  const args = [jest, '--ci', '--json', mutant.test, '-t', mutant.name];
  const run = spawnSync(process.execPath, args, {
    cwd: dir,
    encoding: 'utf8',
    maxBuffer: 1 << 28,
  });
  const start = run.stdout.indexOf('{"num');
  const report =
    start < 0
      ? {numPassedTests: 0, numFailedTests: 0}
      : JSON.parse(run.stdout.slice(start));
  const counted = report.numPassedTests + report.numFailedTests > 0;
  return {failed: report.numFailedTests > 0, ran: counted};
}

/** Why a mutant does not show its safeguard, or undefined when it does. */
function judge(dir: string, mutant: Mutant): string | undefined {
  const {file, find, replace} = mutant;
  const undo = changeText(dir, {file, find, replace});
  if (typeof undo === 'string') return undo;
  try {
    const result = runTest(dir, mutant);
    if (!result.ran) return 'no test of that name ran';
    return result.failed ? undefined : 'SURVIVED';
  } finally {
    undo();
  }
}

function main(): number {
  const area = process.argv[2];
  const lists = readdirSync(path.join(ROOT, 'bench', 'mutants')).filter(
    name =>
      name.endsWith('.json') && (area === undefined || name === `${area}.json`)
  );
  const mutants = lists.flatMap(name =>
    z
      .array(MUTANT)
      .parse(
        JSON.parse(
          readFileSync(path.join(ROOT, 'bench', 'mutants', name), 'utf8')
        )
      )
  );
  const dir = scratchCopy();
  let bad = 0;
  try {
    for (const mutant of mutants) {
      const fault = judge(dir, mutant);
      if (fault !== undefined) bad++;
      process.stdout.write(
        `${fault ?? 'caught'}: ${mutant.promise}: ${mutant.safeguard}\n`
      );
    }
  } finally {
    rmSync(dir, {recursive: true});
  }
  process.stdout.write(
    `${mutants.length - bad} of ${mutants.length} mutants caught\n`
  );
  return bad === 0 && mutants.length > 0 ? 0 : 1;
}

process.exitCode = main();
