/** Targets of the soak, which run, refuse or reset requests and record what ran. */

import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {
  ECHO_HEADER,
  NOT_RUN_HEADER,
  SEAL_HEADER,
  announcement,
  announcementPath,
} from '../../platform/counterpart';
import {send} from './send';

/** Shares of the requests that are refused, reset before they run, and reset after. */
const REFUSED_SHARE = 0.05;
const RESET_BEFORE_RUN_SHARE = 0.03;
const RESET_AFTER_RUN_SHARE = 0.03;
const HEARTBEAT_MS = 300;
const MAX_WORK_MS = 30;

/** All targets of one service. */
export class SoakTargets {
  /** Runs by attempt id. */
  readonly runs = new Map<string, number>();
  private readonly servers: http.Server[] = [];
  private timer: NodeJS.Timeout | undefined;
  private sequence = 0;
  private readonly bornMs = Date.now();

  constructor(
    private readonly service: string,
    private readonly random: () => number
  ) {}

  async start(count: number, nodes: readonly string[], port: number) {
    for (let i = 0; i < count; i++) {
      const server = http.createServer((req, res) => this.respond(req, res));
      await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
      this.servers.push(server);
    }
    this.timer = setInterval(() => this.announce(nodes, port), HEARTBEAT_MS);
  }

  stop(): void {
    clearInterval(this.timer);
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  /** Each target announces itself to one node, a different one each time. */
  private announce(nodes: readonly string[], port: number): void {
    this.sequence++;
    this.servers.forEach((server, i) => {
      const {port: own} = server.address() as AddressInfo;
      const {sequence, bornMs, service} = this;
      const body = announcement(service, `127.0.0.1:${own}`, bornMs, sequence);
      const ip = nodes[(sequence + i) % nodes.length] ?? '';
      // A failure is ignored, since the next announcement goes to another node.
      void send({
        ip,
        port,
        method: 'PUT',
        path: announcementPath(`t${i}`),
        body,
      });
    });
  }

  private respond(req: http.IncomingMessage, res: http.ServerResponse): void {
    const id = String(req.headers[ECHO_HEADER] ?? '');
    const sample = this.random();
    if (sample < REFUSED_SHARE) {
      res.writeHead(503, {[NOT_RUN_HEADER]: 'full', [ECHO_HEADER]: id}).end();
      return;
    }
    if (sample < REFUSED_SHARE + RESET_BEFORE_RUN_SHARE) {
      req.socket.destroy();
      return;
    }
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
    const isLost = sample > 1 - RESET_AFTER_RUN_SHARE;
    setTimeout(() => {
      if (isLost) req.socket.destroy();
      else
        res
          .writeHead(200, {[ECHO_HEADER]: id, [SEAL_HEADER]: `seal-${id}`})
          .end(`served ${id}`);
    }, this.random() * MAX_WORK_MS);
  }
}
