/** Detects that the connection of a request was reset after the response head. */

import type {ClientRequest} from 'node:http';
import type {Socket} from 'node:net';

/** The connection of a request. */
export interface ConnectionState {
  /** How it failed; undefined while it is open, or after the peer closed it. */
  readonly error?: string;
}

/**
 * Tells a connection that failed or was reset from one that the peer closed. Node's
 * parser reports a body that ends with its connection as complete in both cases.
 */
export function watchConnection(req: ClientRequest): ConnectionState {
  const state: {error?: string} = {};
  req.once('error', err => (state.error = err.message));
  req.once('socket', socket => {
    const onEnd = () => {
      if (isReset(socket)) state.error ??= 'connection reset';
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
