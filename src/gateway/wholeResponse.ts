/** A complete response of a target that is relayed as a whole. */

import type {ServerResponse} from 'node:http';
import {leaveEndUnmarked} from '../core/responseEnd';
import type {RelayableHead} from './relayableHead';

/** Head and body of a target's response. */
export interface WholeResponse {
  readonly head: RelayableHead;
  readonly body: Buffer;
}

/** Writes the response to the caller, unless the caller has disconnected. */
export function writeWholeResponse(
  res: ServerResponse,
  {head, body}: WholeResponse
): void {
  if (res.destroyed) return;
  if (!head.isEndMarked) leaveEndUnmarked(res);
  res.writeHead(head.status, callerHeaders({head, body}));
  res.end(body);
}

/** Adds the length of a body that came in chunks, which HTTP/1.0 doesn't have. */
function callerHeaders({head, body}: WholeResponse): string[] {
  if (head.framing !== 'chunked') return [...head.headers];
  return [...head.headers, 'content-length', String(body.length)];
}
