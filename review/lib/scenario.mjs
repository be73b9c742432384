/** Runs one case: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */

import path from 'node:path';
import {Deployment, Recorder} from './deployment.mjs';

const LIMIT_MS = 110_000;
const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;

/** Whether the disruption takes place; `TROUBLE=0` leaves it out. */
export const hasTrouble = process.env.TROUBLE !== '0';

/**
 * Calls `run` with a deployment and a recorder; it resolves with the breaches of the
 * rule that it saw, as texts. Throws of `run` mean that the case couldn't run.
 */
export async function runScenario(folder, options, run) {
  const recorder = new Recorder(path.join(folder, 'record.txt'));
  const deployment = new Deployment(recorder, options);
  const limit = setTimeout(() => void end(NOT_RUN, 'time limit'), LIMIT_MS);
  let isEnding = false;

  async function end(code, reason) {
    if (isEnding) return;
    isEnding = true;
    clearTimeout(limit);
    await deployment.stop();
    recorder.note(`exit ${code}: ${reason}`);
    recorder.save();
    console.log(`exit ${code}: ${reason}`);
    process.exit(code);
  }

  for (const signal of ['SIGINT', 'SIGTERM'])
    process.on(signal, () => void end(NOT_RUN, signal));
  process.on('unhandledRejection', err => void end(NOT_RUN, String(err)));
  recorder.note(hasTrouble ? 'with the disruption' : 'without the disruption');
  try {
    await deployment.start();
    const breaches = await run(deployment, recorder);
    for (const breach of breaches) recorder.note(`BROKEN: ${breach}`);
    const outcome =
      breaches.length === 0
        ? 'the rule held'
        : `the rule was broken ${breaches.length} times`;
    await end(breaches.length === 0 ? HELD : BROKEN, outcome);
  } catch (err) {
    await end(NOT_RUN, String(err?.stack ?? err));
  }
}
