/** Ports that the kernel says are free. */

import net, {AddressInfo} from 'node:net';
import {once} from 'node:events';

/** Fresh ports that are tried before a start counts as failed. */
const MAX_FRESH_PORTS = 3;

/** Somebody else listens on the port that a process was to listen on. */
export class PortTakenError extends Error {}

/**
 * Starts a process on a port that `start` chooses anew with each call: between
 * the choice and the listening another process may be given the same one.
 */
export async function onFreshPort<T>(start: () => Promise<T>): Promise<T> {
  for (let tries = 1; ; tries++) {
    try {
      return await start();
    } catch (err) {
      const mayTryAgain =
        err instanceof PortTakenError && tries < MAX_FRESH_PORTS;
      if (!mayTryAgain) throw err;
    }
  }
}

/** Ports that nobody else is given until they are released. */
export interface HeldPorts {
  readonly ports: readonly number[];
  /** Called right before those who are to listen start. */
  release(): Promise<void>;
}

/** Distinct ports on 127.0.0.1. */
export async function holdPorts(count: number): Promise<HeldPorts> {
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

/** Distinct ports for those who listen at once. */
export async function freePorts(count: number): Promise<readonly number[]> {
  const held = await holdPorts(count);
  await held.release();
  return held.ports;
}
