/** Sends JSON responses. */

import type {ServerResponse} from 'node:http';

/** Sends a complete response with a JSON body; header names are lower case. */
export function sendJson(
  res: ServerResponse,
  status: number,
  value: unknown,
  headers: Readonly<Record<string, string>> = {}
): void {
  const body = JSON.stringify(value);
  res.writeHead(status, {
    ...headers,
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  res.end(body);
}
