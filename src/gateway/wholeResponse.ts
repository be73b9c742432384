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
  res.writeHead(response.status, [...response.headers]);
  res.end(response.body);
}
