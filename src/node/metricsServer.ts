/** Serves the metrics of a node as text, and nothing else. */

import http from 'node:http';
import type {NodeMetrics} from '../core/nodeMetrics';
import type {Inbound} from '../inbound/inbound';
import {QUICK_REQUEST_TIMEOUTS} from '../inbound/quickRequests';

const METRICS_PATH = '/metrics';
const OK = 200;
const NOT_FOUND = 404;

/** Resolves with the server once it listens on HOST:PORT. */
export function serveMetrics(
  metrics: NodeMetrics,
  inbound: Inbound,
  {host, port}: {readonly host: string; readonly port: number}
): Promise<http.Server> {
  const server = http.createServer(QUICK_REQUEST_TIMEOUTS);
  const handler = (req: http.IncomingMessage, res: http.ServerResponse) =>
    void answer(metrics, req, res);
  inbound.guard('metrics', handler).attach(server);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve(server));
  });
}

async function answer(
  metrics: NodeMetrics,
  req: http.IncomingMessage,
  res: http.ServerResponse
): Promise<void> {
  if (req.url !== METRICS_PATH) {
    res.writeHead(NOT_FOUND).end();
    return;
  }
  const text = await metrics.text();
  res.writeHead(OK, {'content-type': metrics.contentType});
  res.end(text);
}
