/** A complete response of a target that is relayed as a whole. */

import type {IncomingMessage, ServerResponse} from 'node:http';

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
  // An unframed response may have been truncated when the target closed the
  // connection. A Content-Length or chunked encoding would declare it complete.
  if (!response.isFramed) {
    res.useChunkedEncodingByDefault = false;
    res.shouldKeepAlive = false;
  }
  res.writeHead(response.status, [...response.headers]);
  res.end(response.body);
}
