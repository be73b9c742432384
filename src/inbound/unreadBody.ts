/** Ends requests whose response was sent before their body was read. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import {statedBytes} from '../core/readBody';
import {closeAfterLinger} from './lingeringClose';

/** The rest of a body up to this size is read, so that its connection can be kept. */
const MAX_DISCARDED_BYTES = 64 << 10;
const MAX_DISCARDED_CHUNKS = 1_024;
const MAX_DISCARD_MS = 1_000;

/** Bounds what is read of the body once the response is sent. */
export function boundUnreadBody(
  req: IncomingMessage,
  res: ServerResponse,
  onClosed: () => void
): void {
  if (statedBytes(req) > MAX_DISCARDED_BYTES) announceClose(req, res);
  // Before Node's own listener, which would read the body without a bound, or reset the
  // connection although the response is still on its way.
  res.prependOnceListener('finish', () => {
    if (!req.complete && !req.socket.destroyed) discardBody(req, onClosed);
  });
}

/** Announces the end of the connection, unless the body was read by then. */
function announceClose(req: IncomingMessage, res: ServerResponse): void {
  const {shouldKeepAlive} = res;
  res.shouldKeepAlive = false;
  req.once('end', () => {
    if (!res.headersSent) res.shouldKeepAlive = shouldKeepAlive;
  });
}

/** Reads the rest of a body up to the bounds, then closes the connection. */
function discardBody(req: IncomingMessage, onClosed: () => void): void {
  const {socket} = req;
  const {destroySoon} = socket;
  let bytes = 0;
  let chunks = 0;
  const stop = () => {
    clearTimeout(timer);
    req.off('data', onData);
    req.off('end', stop);
    req.off('close', stop);
    socket.destroySoon = destroySoon;
  };
  const close = () => {
    stop();
    onClosed();
    closeAfterLinger(socket);
  };
  const onData = (chunk: Buffer) => {
    bytes += chunk.length;
    chunks++;
    if (bytes > MAX_DISCARDED_BYTES || chunks > MAX_DISCARDED_CHUNKS) close();
  };
  const timer = setTimeout(close, MAX_DISCARD_MS);
  // Called for a response that announces the end of its connection.
  socket.destroySoon = close;
  req.on('data', onData);
  req.on('end', stop);
  req.on('close', stop);
  req.resume();
}
