/** Runs the operators' client as a process. */

import {execFile} from 'node:child_process';

/** What the client printed, and its exit code. */
export interface ClientResult {
  readonly code: number;
  readonly output: string;
}

/** Runs `node ARGS`; the first argument is the bundle. */
export function runClient(args: readonly string[]): Promise<ClientResult> {
  return new Promise(resolve => {
    execFile(process.execPath, args, (err, stdout, stderr) => {
      const code = err === null ? 0 : Number(err.code ?? 1);
      resolve({code, output: stdout + stderr});
    });
  });
}
