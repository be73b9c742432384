/** Runs the load generator as a separate process. */

import {execFile} from 'node:child_process';
import path from 'node:path';
import type {LoadPlan, LoadResult} from './loadGenerator';

/** The built helper program in the folder of the running one. */
export const CAPACITY_PROGRAM = path.join(__dirname, 'capacity.cjs');

/** Runs a load; resolves with the result. */
export function runLoad(plan: LoadPlan): Promise<LoadResult> {
  const args = [CAPACITY_PROGRAM, 'load', JSON.stringify(plan)];
  return new Promise((resolve, reject) => {
    execFile(process.execPath, args, (err, stdout) => {
      if (err !== null) return reject(err);
      resolve(JSON.parse(stdout) as LoadResult);
    });
  });
}
