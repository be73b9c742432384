/** Receives the response to a request that this process sent; every client uses it. */

import type {ClientRequest, IncomingMessage} from 'node:http';
import type {ConnectionState} from './connectionReset';
import {watchConnection} from './connectionReset';
import {limitInterimResponses} from './interimResponses';
import {ResponseScanner} from './responseScanner';

/** Gets the response, or why there is none; at most one of the two is called. */
export interface ResponseHandlers {
  /** Called with a valid head. The body fails if its chunks or trailers are malformed. */
  readonly onResponse: (res: IncomingMessage) => void;
  /** Called before the request is destroyed. */
  readonly onMalformed: (reason: string) => void;
}

/** Checks the bytes of the response before Node's parser gets them. */
export function receiveResponse(
  req: ClientRequest,
  {onResponse, onMalformed}: ResponseHandlers
): ConnectionState {
  const connection = watchConnection(req);
  let response: IncomingMessage | undefined;
  let isMalformed = false;
  const reject = (reason: string) => {
    if (isMalformed) return;
    isMalformed = true;
    const err = new Error(reason);
    // After an error the parser can't report the body as complete.
    if (response !== undefined) return void response.destroy(err);
    onMalformed(reason);
    req.destroy(err);
  };
  // The parser may fail on the same bytes, which is a second error of the request.
  req.on('error', () => undefined);
  scanBytes(req, reject);
  limitInterimResponses(req, reject);
  req.on('response', res => {
    if (isMalformed) return;
    response = res;
    onResponse(res);
  });
  return connection;
}

function scanBytes(
  req: ClientRequest,
  onMalformed: (reason: string) => void
): void {
  const scanner = new ResponseScanner(req.method);
  const onData = (bytes: Buffer) => {
    try {
      scanner.push(bytes);
    } catch (err) {
      onMalformed(err instanceof Error ? err.message : String(err));
    }
  };
  req.once('socket', socket => {
    // The listener of Node's parser was added before.
    socket.prependListener('data', onData);
    req.once('close', () => socket.off('data', onData));
  });
}
