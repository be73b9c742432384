/** `npm run bench` runs the measures and writes dist/bench-report.html. */

import {writeFileSync} from 'node:fs';
import path from 'node:path';
import meow from 'meow';
import type {Measure, MeasureResult} from './measure';
import {MEASURES} from './measures';
import {htmlReport} from './report/html';
import {textTable} from './report/table';

const DEFAULT_SEED = 1;

const cli = meow(
  `
  Usage
    $ npm run bench -- [options]

  Options
    --quick     shorter runs, under 50 seconds in all
    --json      one JSON object as the last line
    --only KEY  only this measure; may be repeated
    --seed N    seed of the workloads (${DEFAULT_SEED})
`,
  {
    importMeta: import.meta,
    flags: {
      quick: {type: 'boolean', default: false},
      json: {type: 'boolean', default: false},
      only: {type: 'string', isMultiple: true},
      seed: {type: 'number', default: DEFAULT_SEED},
    },
  }
);

/** The result of one measure, with the time that it took. */
export interface TimedResult {
  readonly key: string;
  readonly result: MeasureResult;
  readonly elapsedMs: number;
}

async function runOne(measure: Measure): Promise<TimedResult> {
  const startedAt = performance.now();
  const {quick, seed} = cli.flags;
  const result = await measure.run({quick, seed});
  const elapsedMs = Math.round(performance.now() - startedAt);
  process.stderr.write(`${measure.key}: ${elapsedMs} ms\n`);
  return {key: measure.key, result, elapsedMs};
}

function chosenMeasures(): readonly Measure[] {
  const only = cli.flags.only ?? [];
  if (only.length === 0) return MEASURES;
  const unknown = only.filter(key => !MEASURES.some(m => m.key === key));
  if (unknown.length > 0) throw new Error(`no measure ${unknown.join(', ')}`);
  return MEASURES.filter(measure => only.includes(measure.key));
}

function asJson(results: readonly TimedResult[]): string {
  const byKey = results.map(({key, result, elapsedMs}) => {
    return [key, {...result, plots: undefined, elapsedMs}] as const;
  });
  return JSON.stringify(Object.fromEntries(byKey));
}

async function main(): Promise<void> {
  const results: TimedResult[] = [];
  for (const measure of chosenMeasures()) results.push(await runOne(measure));
  const report = path.join(__dirname, 'bench-report.html');
  writeFileSync(report, htmlReport(results));
  if (cli.flags.json) process.stdout.write(`${asJson(results)}\n`);
  else process.stdout.write(`${textTable(results)}\nreport: ${report}\n`);
}

main().catch(err => {
  process.stderr.write(`${String(err)}\n`);
  process.exitCode = 1;
});
