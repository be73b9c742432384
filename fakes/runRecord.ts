/** What a fake ran, in a file that outlives the fake when it is killed. */

import {appendFileSync, existsSync, readFileSync} from 'node:fs';
import type http from 'node:http';
import {headerOf} from './http';

/** Header in which a caller names one sending; it passes to the target. */
export const CALL_ID_HEADER = 'x-call-id';

/** One line of the file; times are those of the machine. */
export type RecordLine =
  | {
      readonly kind: 'ran';
      readonly atMs: number;
      readonly callId?: string;
      readonly key?: string;
    }
  /** More than the fake could bear. */
  | {readonly kind: 'fell over'; readonly atMs: number};

/** Written before anything else happens, so a run is never left out. */
export function recordRun(
  file: string | undefined,
  req: http.IncomingMessage
): void {
  append(file, {
    kind: 'ran',
    atMs: Date.now(),
    callId: headerOf(req, CALL_ID_HEADER),
    key: headerOf(req, 'idempotency-key'),
  });
}

/** An engine fell over. */
export function recordFall(file: string | undefined): void {
  append(file, {kind: 'fell over', atMs: Date.now()});
}

/** Reads all lines; none when nothing ran. */
export function readRecord(file: string): readonly RecordLine[] {
  if (!existsSync(file)) return [];
  return readFileSync(file, 'utf8')
    .split('\n')
    .filter(line => line !== '')
    .map(line => JSON.parse(line) as RecordLine);
}

function append(file: string | undefined, line: RecordLine): void {
  if (file !== undefined) appendFileSync(file, `${JSON.stringify(line)}\n`);
}
