/**
 * `npm run mutants [-- AREA]` removes one safeguard at a time and expects the
 * named test to fail. The mutants are listed in bench/mutants, one file per area.
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
  /** The promise to users that the safeguard keeps. */
  promise: z.string(),
  /** The safeguard that the change removes. */
  safeguard: z.string(),
  /** Spec file; `name` is a part of the title of the test that must fail. */
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

/** Copies the sources to a temporary folder, so that the work tree stays untouched. */
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
  const hasRun = report.numPassedTests + report.numFailedTests > 0;
  return {failed: report.numFailedTests > 0, ran: hasRun};
}

/** Why a mutant was not caught by its test, or undefined if it was. */
function checkMutant(dir: string, mutant: Mutant): string | undefined {
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
  let notCaught = 0;
  try {
    for (const mutant of mutants) {
      const problem = checkMutant(dir, mutant);
      if (problem !== undefined) notCaught++;
      process.stdout.write(
        `${problem ?? 'caught'}: ${mutant.promise}: ${mutant.safeguard}\n`
      );
    }
  } finally {
    rmSync(dir, {recursive: true});
  }
  process.stdout.write(
    `${mutants.length - notCaught} of ${mutants.length} mutants caught\n`
  );
  return notCaught === 0 && mutants.length > 0 ? 0 : 1;
}

process.exitCode = main();
