/** Ports that the kernel says are free. */

import net, {AddressInfo} from 'node:net';
import {once} from 'node:events';

/** Distinct ports on 127.0.0.1; all are held until all are known. */
export async function freePorts(count: number): Promise<readonly number[]> {
  const servers = Array.from({length: count}, () =>
    net.createServer().listen(0, '127.0.0.1')
  );
  await Promise.all(servers.map(server => once(server, 'listening')));
  const ports = servers.map(server => (server.address() as AddressInfo).port);
  await Promise.all(servers.map(server => once(server.close(), 'close')));
  return ports;
}
