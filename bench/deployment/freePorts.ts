/** Picks free ports by letting the kernel choose them. */

import net, {AddressInfo} from 'node:net';
import {once} from 'node:events';

/** Maximum number of ports to try before a start fails. */
const MAX_PORT_ATTEMPTS = 3;

/** The port that a process was told to listen on is already in use. */
export class PortTakenError extends Error {}

/**
 * Starts a process on a port that `start` chooses anew on each call. Another
 * process can be given the same port before this one listens on it.
 */
export async function startOnFreePort<T>(start: () => Promise<T>): Promise<T> {
  for (let attempt = 1; ; attempt++) {
    try {
      return await start();
    } catch (err) {
      const canRetry =
        err instanceof PortTakenError && attempt < MAX_PORT_ATTEMPTS;
      if (!canRetry) throw err;
    }
  }
}

/** Ports that the kernel gives to no other process until they are released. */
export interface ReservedPorts {
  readonly ports: readonly number[];
  /** To be called right before the processes that listen on them start. */
  release(): Promise<void>;
}

/** Reserves distinct ports on 127.0.0.1 by listening on them. */
export async function reservePorts(count: number): Promise<ReservedPorts> {
  const servers = Array.from({length: count}, () =>
    net.createServer().listen(0, '127.0.0.1')
  );
  await Promise.all(servers.map(server => once(server, 'listening')));
  const ports = servers.map(server => (server.address() as AddressInfo).port);
  const release = async () => {
    await Promise.all(servers.map(server => once(server.close(), 'close')));
  };
  return {ports, release};
}

/** Distinct ports for processes that listen on them right away. */
export async function freePorts(count: number): Promise<readonly number[]> {
  const held = await reservePorts(count);
  await held.release();
  return held.ports;
}
