/**
 * `npm run fuzz -- --seed N --runs N [--model NAME]`: checks the decision state
 * machines under seeded schedules.
 */

import meow from 'meow';
import type {FuzzModel} from './fuzz/fuzzModel';
import {FUZZ_MODELS} from './fuzz/models';

const DEFAULT_RUNS = 200;

const cli = meow(
  `
  Usage
    $ npm run fuzz -- [options]

  Options
    --seed N      first seed (1)
    --runs N      schedules for each model (${DEFAULT_RUNS})
    --model NAME  only this model
`,
  {
    importMeta: import.meta,
    flags: {
      seed: {type: 'number', default: 1},
      runs: {type: 'number', default: DEFAULT_RUNS},
      model: {type: 'string'},
    },
  }
);

/** Runs the schedules of one model; returns whether all of them passed. */
function runModel(model: FuzzModel, firstSeed: number, runs: number): boolean {
  for (let seed = firstSeed; seed < firstSeed + runs; seed++) {
    try {
      model.run(seed);
    } catch (err) {
      process.stdout.write(
        `${model.name}: seed ${seed} FAILED: ${String(err)}\n`
      );
      return false;
    }
  }
  process.stdout.write(
    `${model.name}: ${runs} schedules held (seeds ${firstSeed} to ${firstSeed + runs - 1})\n`
  );
  return true;
}

const chosen = FUZZ_MODELS.filter(
  model => cli.flags.model === undefined || model.name === cli.flags.model
);
const held = chosen.map(model =>
  runModel(model, cli.flags.seed, cli.flags.runs)
);
process.stdout.write(
  `${chosen.length * cli.flags.runs} schedules asked for in all\n`
);
process.exitCode = chosen.length > 0 && held.every(Boolean) ? 0 : 1;
