/** Ports that the kernel says are free. */

import net, {AddressInfo} from 'node:net';
import {once} from 'node:events';

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
