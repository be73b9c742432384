/** A fake weight store behind a token bucket: 429 when it is empty. */

import {FakeServer, pathOf, sendJson} from './http';

const PATH_PREFIX = '/weights/';
const MS_PER_SECOND = 1000;

/** Settings of the store. */
export interface WeightStoreConfig {
  readonly port: number;
  readonly requestsPerSecond: number;
  /** Requests that a full bucket allows at once. */
  readonly burst: number;
  /** Size of each answer. */
  readonly bytes: number;
}

/** A store that runs until closed. */
export class FakeWeightStore {
  port = 0;
  served = 0;
  limited = 0;
  private tokens: number;
  private filledAtMs = performance.now();
  private readonly cfg: WeightStoreConfig;
  private readonly server: FakeServer;

  constructor(cfg: Partial<WeightStoreConfig> = {}) {
    this.cfg = {port: 0, requestsPerSecond: 10, burst: 5, bytes: 1024, ...cfg};
    this.tokens = this.cfg.burst;
    this.server = new FakeServer((req, res) => {
      const path = pathOf(req);
      if (path === '/fake/state')
        return sendJson(res, 200, {served: this.served, limited: this.limited});
      if (!path.startsWith(PATH_PREFIX))
        return sendJson(res, 404, {error: 'no path'});
      if (!this.take()) {
        this.limited++;
        const seconds = Math.ceil(1 / this.cfg.requestsPerSecond);
        return sendJson(
          res,
          429,
          {error: 'limited'},
          {
            'retry-after': String(seconds),
          }
        );
      }
      this.served++;
      res.end(Buffer.alloc(this.cfg.bytes));
    });
  }

  async start(): Promise<this> {
    this.port = await this.server.listen(this.cfg.port);
    return this;
  }

  close(): Promise<void> {
    return this.server.close();
  }

  private take(): boolean {
    const now = performance.now();
    const gained =
      ((now - this.filledAtMs) / MS_PER_SECOND) * this.cfg.requestsPerSecond;
    this.filledAtMs = now;
    this.tokens = Math.min(this.cfg.burst, this.tokens + gained);
    if (this.tokens < 1) return false;
    this.tokens--;
    return true;
  }
}
