/** Ends of responses that this process writes. */

import type {ServerResponse} from 'node:http';

/**
 * Lets the response end with its connection, since a Content-Length or a last chunk
 * would declare a body complete that may not be. To be called before `writeHead`.
 */
export function leaveEndUnmarked(res: ServerResponse): void {
  res.useChunkedEncodingByDefault = false;
  res.shouldKeepAlive = false;
}
