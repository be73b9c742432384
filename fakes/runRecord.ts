/** Records what a fake ran in a file, which survives a kill of the fake. */

import {appendFileSync, existsSync, readFileSync} from 'node:fs';
import type http from 'node:http';
import {headerOf} from './http';

/** Header with the caller's id of one request; the balancer forwards it to the target. */
export const CALL_ID_HEADER = 'x-call-id';

/** One line of the file; `atMs` is wall-clock time. */
export type RecordLine =
  | {
      readonly kind: 'ran';
      readonly atMs: number;
      readonly callId?: string;
      readonly key?: string;
    }
  /** The engine crashed because it was overloaded while cold. */
  | {readonly kind: 'fell over'; readonly atMs: number};

/** Appends a run. Called before the request has any effect, so that no run is missed. */
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

/** Appends a crash caused by overload. */
export function recordOverload(file: string | undefined): void {
  append(file, {kind: 'fell over', atMs: Date.now()});
}

/** Reads all lines; empty if the file does not exist because nothing ran. */
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
