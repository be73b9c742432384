/** Closes connections whose last response is still on its way. */

import type {Duplex} from 'node:stream';
import {holdReading} from '../core/holdReading';

/** Time for the response to arrive before its connection is reset. */
const LINGER_MS = 500;

/**
 * Sends the last bytes and closes the connection, whether or not its client closes its
 * side. A connection that is closed at once with unread bytes is reset, and its client may
 * not see the response.
 */
export function closeAfterLinger(socket: Duplex, lastBytes = ''): void {
  if (socket.destroyed) return;
  holdReading(socket);
  socket.end(lastBytes);
  setTimeout(() => socket.destroy(), LINGER_MS).unref();
}
