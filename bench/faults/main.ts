/**
 * `npm run faults -- --seed N --runs N` runs pairs of overlapping faults, chosen
 * by the seed, on one deployment of real processes under steady traffic.
 */

import meow from 'meow';
import {connectControl} from '../../src/cli/connectControl';
import {Deployment} from '../deployment/deployment';
import {BUILT_PROGRAMS} from '../deployment/programs';
import {findViolations} from './findViolations';
import {runDelaysAfterSigterm} from './checkNewWork';
import {FaultRunner} from './faultRun';
import {FAULT_SHAPE} from './faultShape';
import {History, eventsOfKind} from './history';

const DEFAULT_RUNS = 10;

const cli = meow(
  `
  Usage
    $ npm run faults -- [options]

  Options
    --seed N  first seed (1)
    --runs N  pairs of faults (${DEFAULT_RUNS})
    --keep    keep the folder with settings, logs and records
`,
  {
    importMeta: import.meta,
    flags: {
      seed: {type: 'number', default: 1},
      runs: {type: 'number', default: DEFAULT_RUNS},
      keep: {type: 'boolean', default: false},
    },
  }
);

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Runs all seeds; returns the number of distinct violations. */
async function runSeeds(runner: FaultRunner): Promise<number> {
  const seen = new Set<string>();
  const {seed: firstSeed, runs} = cli.flags;
  for (let seed = firstSeed; seed < firstSeed + runs; seed++) {
    const {pair, healedMs} = await runner.run(seed);
    print(`seed ${seed}: ${pair.join(' + ')}: whole after ${healedMs} ms`);
    for (const {promise, detail} of findViolations(runner.history())) {
      const line = `  VIOLATED ${promise}: ${detail}`;
      if (!seen.has(line)) print(`${line} (${new Date().toISOString()})`);
      seen.add(line);
    }
  }
  return seen.size;
}

/** Counts what was exercised, which reveals a pass without traffic or faults. */
function summary(history: History): string {
  const afterMs = runDelaysAfterSigterm(history).map(one => one.afterMs);
  const results = eventsOfKind(history, 'answered').map(
    ({result}) => result.kind
  );
  const countOf = (kind: string) =>
    `${results.filter(one => one === kind).length} ${kind}`;
  return [
    `${results.length} calls: ${['whole', 'refused', 'broken', 'silent', 'wrong'].map(countOf).join(', ')}`,
    `${eventsOfKind(history, 'accepted').length} files accepted`,
    `${eventsOfKind(history, 'leaving').length} graceful ends; last new work at a leaving target ${Math.round(Math.max(0, ...afterMs))} ms after SIGTERM`,
    `${eventsOfKind(history, 'fell over').length} targets fell over`,
  ].join('\n');
}

async function main(): Promise<void> {
  const deployment = await Deployment.start(BUILT_PROGRAMS, FAULT_SHAPE);
  const control = connectControl(deployment.clientSettings);
  try {
    const runner = new FaultRunner(deployment, control);
    await runner.prepare();
    const violations = await runSeeds(runner);
    print(summary(runner.history()));
    print(`${cli.flags.runs} pairs, ${violations} violations`);
    process.exitCode = violations === 0 ? 0 : 1;
  } finally {
    control.close();
    if (cli.flags.keep) print(`kept: ${deployment.folder}`);
    await deployment.stop('SIGKILL', cli.flags.keep);
  }
}

main().catch((err: unknown) => {
  print(String(err));
  process.exitCode = 1;
});
