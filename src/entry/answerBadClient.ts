/** Answers a connection on which no valid request came. */

import type {Duplex} from 'node:stream';

const HEAD_TOO_LARGE = 'HPE_HEADER_OVERFLOW';
const HEAD_TOO_SLOW = 'ERR_HTTP_REQUEST_TIMEOUT';

function statusOf(code: string | undefined): string {
  switch (code) {
    case HEAD_TOO_LARGE:
      return '431 Request Header Fields Too Large';
    case HEAD_TOO_SLOW:
      return '408 Request Timeout';
    default:
      return '400 Bad Request';
  }
}

/** Writes the answer by hand, as there is no request to answer, and closes. */
export function answerBadClient(
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
