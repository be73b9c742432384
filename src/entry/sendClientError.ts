/** Responds to bytes that are not a valid HTTP request. */

import type {Duplex} from 'node:stream';

const HEADER_OVERFLOW = 'HPE_HEADER_OVERFLOW';
const REQUEST_TIMEOUT = 'ERR_HTTP_REQUEST_TIMEOUT';

function statusOf(code: string | undefined): string {
  switch (code) {
    case HEADER_OVERFLOW:
      return '431 Request Header Fields Too Large';
    case REQUEST_TIMEOUT:
      return '408 Request Timeout';
    default:
      return '400 Bad Request';
  }
}

/** Writes a raw HTTP response, since there is no ServerResponse, and closes. */
export function sendClientError(
  entryId: string,
  code: string | undefined,
  socket: Duplex
): void {
  const error = {
    reason: 'malformed-request',
    outcome: 'not run',
    retryable: false,
    step: 'receive',
    peer: entryId,
  };
  const body = JSON.stringify({error});
  const head = [
    `HTTP/1.1 ${statusOf(code)}`,
    'content-type: application/json',
    `content-length: ${body.length}`,
    'marlpulley-reason: malformed-request',
    'marlpulley-outcome: not run',
    'connection: close',
  ];
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
}
