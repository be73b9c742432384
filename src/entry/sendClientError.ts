/** Responds to bytes that are not a valid HTTP request. */

import type {Duplex} from 'node:stream';
import {closeAfterLinger} from '../inbound/lingeringClose';
import {clientErrorStatus} from '../core/clientErrorStatus';

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
    `HTTP/1.1 ${clientErrorStatus(code)}`,
    'content-type: application/json',
    `content-length: ${body.length}`,
    'marlpulley-reason: malformed-request',
    'marlpulley-outcome: not run',
    'connection: close',
  ];
  closeAfterLinger(socket, `${head.join('\r\n')}\r\n\r\n${body}`);
}
