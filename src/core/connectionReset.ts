/** Detects that the connection of a request was reset after the response head. */

import type {ClientRequest, IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import {framingOf} from './bodyFraming';

/** The connection of a request. */
export interface ConnectionState {
  /** How it failed; undefined while it is open, or after the peer closed it. */
  readonly error?: string;
}

/**
 * Tells a connection that failed or was reset from one that the peer closed, and fails
 * a response body that ends with such a connection: Node's parser reports it as
 * complete.
 */
export function watchConnection(req: ClientRequest): ConnectionState {
  const state: {error?: string} = {};
  let response: IncomingMessage | undefined;
  const fail = (err: Error) => {
    state.error ??= err.message;
    if (response !== undefined && framingOf(response) === 'close')
      response.destroy(err);
  };
  req.once('response', res => (response = res));
  req.once('error', fail);
  req.once('socket', socket => {
    const onEnd = () => {
      if (isReset(socket)) fail(new Error('connection reset'));
    };
    socket.prependListener('end', onEnd);
    req.once('close', () => socket.off('end', onEnd));
  });
  return state;
}

/**
 * Data and a reset that arrive together are reported as data and an orderly end. The
 * kernel has no peer address for a connection that was reset, but has one for a
 * connection that the peer closed.
 */
function isReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}
