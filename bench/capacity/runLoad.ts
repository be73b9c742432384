/** Runs the load generator as a process of its own. */

import {execFile} from 'node:child_process';
import path from 'node:path';
import type {LoadPlan, LoadResult} from './loadGenerator';

/** The built helper program, beside the bench in dist. */
export const CAPACITY_PROGRAM = path.join(__dirname, 'capacity.cjs');

/** Resolves with what the generator measured. */
export function runLoad(plan: LoadPlan): Promise<LoadResult> {
  const args = [CAPACITY_PROGRAM, 'load', JSON.stringify(plan)];
  return new Promise((resolve, reject) => {
    execFile(process.execPath, args, (err, stdout) => {
      if (err !== null) return reject(err);
      resolve(JSON.parse(stdout) as LoadResult);
    });
  });
}
