/** Ends of responses that this process writes. */

import {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Writable} from 'node:stream';
import {TLSSocket} from 'node:tls';

/**
 * Lets the response end with its connection, since a Content-Length or a last chunk
 * would declare a body complete that may not be. To be called before `writeHead`.
 */
export function leaveEndUnmarked(res: ServerResponse): void {
  res.useChunkedEncodingByDefault = false;
  res.shouldKeepAlive = false;
}

/**
 * Closes the connection so that the caller sees an incomplete response. A response
 * that ends with its connection is complete unless the connection is reset.
 */
export function abortResponse(res: Writable): void {
  const socket = res instanceof ServerResponse ? socketToReset(res) : null;
  if (socket === null) res.destroy();
  else socket.resetAndDestroy();
}

/** Null if the end of the response is marked, or its connection can't be reset. */
function socketToReset(res: ServerResponse): Socket | null {
  // Only HTTP/1.0 and `leaveEndUnmarked` turn chunks off; any other response without
  // chunks has a Content-Length.
  const endsWithConnection =
    res.headersSent && !res.chunkedEncoding && !res.useChunkedEncodingByDefault;
  return endsWithConnection && !(res.socket instanceof TLSSocket)
    ? res.socket
    : null;
}
