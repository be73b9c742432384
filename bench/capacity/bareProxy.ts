/** A minimal pass-through proxy on Node's `http`, as a baseline for overhead. */

import http from 'node:http';
import type {AddressInfo} from 'node:net';

/** Starts the proxy in front of a target; resolves with the port. */
export function startBareProxy(targetPort: number): Promise<number> {
  const agent = new http.Agent({keepAlive: true});
  const server = http.createServer((req, res) => {
    const {method, url, headers} = req;
    const upstream = http.request(
      {host: '127.0.0.1', port: targetPort, agent, method, path: url, headers},
      answer => {
        res.writeHead(answer.statusCode ?? 502, answer.headers);
        answer.pipe(res);
      }
    );
    upstream.on('error', () => res.destroy());
    req.pipe(upstream);
  });
  return new Promise(resolve =>
    server.listen(0, '127.0.0.1', () =>
      resolve((server.address() as AddressInfo).port)
    )
  );
}
