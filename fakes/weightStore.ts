/** A fake weight store with a token bucket; responds 429 when the bucket is empty. */

import {FakeServer, pathOf, sendJson} from './http';

const PATH_PREFIX = '/weights/';
const MS_PER_SECOND = 1000;

/** Settings of the store. */
export interface WeightStoreConfig {
  readonly port: number;
  readonly requestsPerSecond: number;
  /** Capacity of the bucket: the number of requests allowed at once. */
  readonly burst: number;
  /** Size of each response body. */
  readonly bytes: number;
}

/** The HTTP server of the fake weight store. */
export class FakeWeightStore {
  port = 0;
  served = 0;
  limited = 0;
  private tokens: number;
  private refilledAtMs = performance.now();
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
      if (!this.takeToken()) {
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

  private takeToken(): boolean {
    const now = performance.now();
    const gained =
      ((now - this.refilledAtMs) / MS_PER_SECOND) * this.cfg.requestsPerSecond;
    this.refilledAtMs = now;
    this.tokens = Math.min(this.cfg.burst, this.tokens + gained);
    if (this.tokens < 1) return false;
    this.tokens--;
    return true;
  }
}
