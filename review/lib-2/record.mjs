/** The record of a run, and its exit code. */

import {appendFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';

/** Returns a function that writes lines to `record.txt` in the folder. */
export function openRecord(folder) {
  const file = path.join(folder, 'record.txt');
  const startMs = performance.now();
  writeFileSync(file, '');
  return text => {
    const s = ((performance.now() - startMs) / 1000).toFixed(3);
    appendFileSync(file, `${s.padStart(8)} s  ${text}\n`);
  };
}

/** Runs a case: 0 if the rule held, 1 if it was broken, 2 if it couldn't run. */
export async function runCase(folder, run) {
  const record = openRecord(folder);
  const limit = setTimeout(() => {
    record('the case took too long');
    process.exit(2);
  }, 115_000);
  let code = 2;
  try {
    const isBroken = await run(record, process.env.TROUBLE !== '0');
    code = isBroken ? 1 : 0;
    record(isBroken ? 'BROKEN' : 'held');
  } catch (err) {
    record(`could not run: ${err?.stack ?? err}`);
  }
  clearTimeout(limit);
  process.exit(code);
}
