/** A worker of a plain service, by the users' protocol. */

import http from 'node:http';
import {call} from './calls.mjs';

const BEAT_MS = 1200;

/** Serves requests and says who it is. */
export class Worker {
  constructor({id, service, zone, ip, controls, onRun}) {
    Object.assign(this, {id, service, zone, ip, controls, onRun});
    this.born = Date.now();
    this.sequence = 0;
    this.state = 'ready';
    this.server = http.createServer((req, res) => this.answer(req, res));
  }

  async start() {
    await new Promise(done => this.server.listen(0, this.ip, done));
    this.port = this.server.address().port;
    this.timer = setInterval(() => void this.beat(), BEAT_MS);
    await this.beat();
  }

  stop() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Sends one check-in, to the next node after one that doesn't acknowledge it. */
  async beat() {
    const body = JSON.stringify({
      service: this.service,
      address: `${this.ip}:${this.port}`,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      coldRemainingMs: 0,
      sequence: ++this.sequence,
      born: this.born,
    });
    const path = `/-/instances/${this.id}`;
    for (let i = 0; i < this.controls.length; i++) {
      const {ip, port} =
        this.controls[(this.sequence + i) % this.controls.length];
      const {status} = await call({ip, port, method: 'PUT', path, body});
      if (status === 200) return true;
    }
    return false;
  }

  answer(req, res) {
    const attempt = req.headers['x-attempt-id'] ?? '';
    const expected = req.headers['x-expect-instance'];
    req.resume();
    req.on('end', () => {
      res.setHeader('x-attempt-id', attempt);
      if (expected !== undefined && expected !== this.id) {
        res.writeHead(421, {'x-not-executed': '1'}).end();
        return;
      }
      this.onRun?.({worker: this, req, attempt, atMs: performance.now()});
      setTimeout(() => {
        res.setHeader('x-response-seal', `seal-${attempt}`);
        res.setHeader('x-instance-load', '1,0,8');
        res.end(`served ${attempt}`);
      }, 5);
    });
  }
}
