/**
 * Preloaded into an entry (`node --require`) to redirect its connections to some
 * ports to relays. Agents announce the address that they listen on, so no
 * setting of the system can put a relay between them and an entry.
 */

import net from 'node:net';
import {VIA_RELAYS} from './viaRelaysEnv';

type Connect = (this: net.Socket, ...args: unknown[]) => net.Socket;

const relayByPort = new Map(
  Object.entries(JSON.parse(process.env[VIA_RELAYS] ?? '{}')).map(
    ([port, relay]) => [Number(port), relay]
  )
);

function redirect(options: unknown): unknown {
  if (typeof options !== 'object' || options === null) return options;
  if (!('port' in options)) return options;
  const relay = relayByPort.get(Number(options.port));
  return relay === undefined ? options : {...options, port: relay};
}

// Wraps the method that every outgoing connection goes through.
const prototype = net.Socket.prototype as unknown as {connect: Connect};
const connect = prototype.connect;
prototype.connect = function (this: net.Socket, first, ...rest) {
  return connect.call(this, redirect(first), ...rest);
};
