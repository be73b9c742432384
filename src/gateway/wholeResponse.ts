/** A complete response of a target that is relayed as a whole. */

import type {ServerResponse} from 'node:http';
import type {BodyFraming} from '../core/bodyFraming';
import {leaveEndUnmarked} from '../core/responseEnd';

/** Status, headers and body of a target's response. */
export interface WholeResponse {
  readonly status: number;
  /** Flat list of names and values, as in `rawHeaders`. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly framing: BodyFraming;
}

/** Writes the response to the caller, unless the caller has disconnected. */
export function writeWholeResponse(
  res: ServerResponse,
  response: WholeResponse
): void {
  if (res.destroyed) return;
  if (response.framing === 'close') leaveEndUnmarked(res);
  res.writeHead(response.status, callerHeaders(response));
  res.end(response.body);
}

/** Adds the length of a body that came in chunks, which HTTP/1.0 doesn't have. */
function callerHeaders({framing, headers, body}: WholeResponse): string[] {
  if (framing !== 'chunked') return [...headers];
  return [...headers, 'content-length', String(body.length)];
}
