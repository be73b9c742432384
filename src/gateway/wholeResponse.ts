/** A complete response of a target that is relayed as a whole. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import {leaveEndUnmarked} from '../core/responseEnd';

/** Status, headers and body of a target's response. */
export interface WholeResponse {
  readonly status: number;
  /** Flat list of names and values, as in `rawHeaders`. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Whether the end was marked by a Content-Length or Transfer-Encoding. */
  readonly isFramed: boolean;
}

/** Whether the end of a response is marked by its headers. */
export function isFramed({headers}: IncomingMessage): boolean {
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}

/** Writes the response to the caller, unless the caller has disconnected. */
export function writeWholeResponse(
  res: ServerResponse,
  response: WholeResponse
): void {
  if (res.destroyed) return;
  if (!response.isFramed) leaveEndUnmarked(res);
  res.writeHead(response.status, [...response.headers]);
  res.end(response.body);
}
