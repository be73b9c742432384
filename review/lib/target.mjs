/**
 * A stand-in for a worker: it checks in as PROTOCOL.md says, and serves one request at
 * a time on a connection. `respond` may be replaced for a response of another kind.
 */

import http from 'node:http';
import {call} from './deployment.mjs';

const HEARTBEAT_MS = 1_200;

export class Target {
  #sequence = 0;
  #timer;
  /** Requests that it ran, in order. */
  runs = [];
  state = 'ready';

  constructor(deployment, {ip, service, id, zone = 'a', slots = 8, respond}) {
    Object.assign(this, {deployment, ip, service, id, zone, slots});
    this.born = Date.now();
    this.respond = respond ?? respondOk;
    this.server = http.createServer({requireHostHeader: false}, (req, res) =>
      this.#serve(req, res)
    );
    this.server.keepAliveTimeout = 5_000;
    // Bytes after a request that asked to close: it is answered all the same.
    this.server.on('clientError', ({rawPacket}, socket) => {
      const bytes = JSON.stringify(rawPacket?.toString('latin1') ?? '');
      this.deployment.recorder.note(
        `target ${this.id} gets bytes that belong to no request: ${bytes}`
      );
      socket.setTimeout(1_000, () => socket.destroy());
    });
  }

  get address() {
    return `${this.ip}:${this.deployment.ports.target}`;
  }

  async start() {
    const {target} = this.deployment.ports;
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(target, this.ip, resolve);
    });
    this.#timer = setInterval(() => void this.checkIn(), HEARTBEAT_MS);
    await this.checkIn();
  }

  /** Announces itself to the nodes in turn until one acknowledges; resolves with it. */
  async checkIn(nodes = this.deployment.nodes) {
    const {service, address, zone, slots, state, born} = this;
    const sequence = ++this.#sequence;
    const body = JSON.stringify({
      service,
      address,
      zone,
      version: 'v1',
      slots,
      state,
      coldRemainingMs: 0,
      sequence,
      born,
    });
    for (let i = 0; i < nodes.length; i++) {
      const host = nodes[(sequence + i) % nodes.length];
      const url = `/-/instances/${this.id}`;
      const reply = await call({
        host,
        port: this.deployment.ports.control,
        method: 'PUT',
        url,
        body,
      }).catch(() => undefined);
      if (reply?.status === 200) return host;
    }
    return undefined;
  }

  stopCheckIns() {
    clearInterval(this.#timer);
  }

  #serve(req, res) {
    if (req.url === '/health')
      return void res.writeHead(200, {'x-instance-id': this.id}).end();
    const expected = req.headers['x-expect-instance'];
    if (expected !== undefined && expected !== this.id)
      return void res.writeHead(421).end();
    const chunks = [];
    req.on('data', chunk => chunks.push(chunk));
    req.on('error', () => undefined);
    req.on('end', () => {
      const run = {
        attemptId: req.headers['x-attempt-id'],
        method: req.method,
        url: req.url,
        headers: req.headers,
        rawHeaders: req.rawHeaders,
        body: Buffer.concat(chunks),
        atMs: performance.now(),
        target: this.id,
      };
      this.runs.push(run);
      this.deployment.recorder.note(
        `target ${this.id} runs ${run.attemptId}: ${run.method} ${run.url}, body of ${run.body.length} bytes`
      );
      this.respond(run, res, req);
    });
  }

  stop() {
    this.stopCheckIns();
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** Headers of a response to a run, with the seal of the target. */
export function sealedHeaders(run, target, body) {
  return {
    'x-attempt-id': run.attemptId,
    'x-response-seal': `seal-${target.id}-${run.attemptId}`,
    'content-length': Buffer.byteLength(body),
  };
}

function respondOk(run, res) {
  const body = `done ${run.attemptId}`;
  res.writeHead(200, sealedHeaders(run, {id: run.target}, body));
  res.end(body);
}
