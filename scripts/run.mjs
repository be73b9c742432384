// Builds, then runs one program from dist/: `node scripts/run.mjs bench --quick`.
import {execFileSync, spawnSync} from 'node:child_process';
import path from 'node:path';

const [program, ...args] = process.argv.slice(2);
const root = path.resolve(import.meta.dirname, '..');
execFileSync(process.execPath, [path.join(root, 'scripts', 'build.mjs')], {
  cwd: root,
  stdio: ['ignore', 'ignore', 'inherit'],
});
const run = spawnSync(
  process.execPath,
  [path.join(root, 'dist', `${program}.cjs`), ...args],
  {cwd: root, stdio: 'inherit'}
);
process.exit(run.status ?? 1);
