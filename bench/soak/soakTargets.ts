/**
 * Targets of the soak, which run, refuse or reset requests, state rate limits or ask
 * for rest for a while, and record what they got.
 */

import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {
  ECHO_HEADER,
  NOT_RUN_HEADER,
  RATE_LIMIT_HEADER,
  REST_HEADER,
  SEAL_HEADER,
  announcement,
  announcementPath,
} from '../../platform/counterpart';
import {send} from './send';
import type {Violation} from './soakCallers';
import type {NodeEvent} from './statementLog';
import {StatementLog} from './statementLog';

/** Shares of the requests that are refused, reset before they run, and reset after. */
const REFUSED_SHARE = 0.05;
const RESET_BEFORE_RUN_SHARE = 0.03;
const RESET_AFTER_RUN_SHARE = 0.03;
const HEARTBEAT_MS = 300;
const MAX_WORK_MS = 30;
/** Targets that state limits, and the one that asks for rest; one serves on. */
const LIMITED_TARGETS = 2;
const RESTING_TARGET = 2;
/** Requests per second that a target may state, and how long it states a limit. */
const RATE_LIMITS = [0, 0.5, 1, 2, 5];
const MIN_LIMIT_MS = 6_000;
const MAX_LIMIT_MS = 12_000;
/** Seconds of rest that a target may ask for. */
const RESTS_S = [0.7, 1.5, 3];
/** Longest time without a limit or rest. */
const MAX_FREE_MS = 6_000;
const MS_PER_S = 1_000;

/** All targets of one service. */
export class SoakTargets {
  /** Runs by attempt id. */
  readonly runs = new Map<string, number>();
  private readonly servers: http.Server[] = [];
  private readonly logs: StatementLog[] = [];
  private readonly limitTimers = new Map<number, NodeJS.Timeout>();
  /** Until when the resting target turns all requests away, and when it did last. */
  private refusesUntilMs = 0;
  private refusesAgainAtMs = 0;
  private timer: NodeJS.Timeout | undefined;
  private sequence = 0;
  private readonly bornMs = Date.now();

  constructor(
    private readonly service: string,
    private readonly random: () => number,
    /** The node that a caller sent a request to, by its attempt id. */
    private readonly nodeOf: (id: string) => string
  ) {}

  async start(count: number, nodes: readonly string[], port: number) {
    for (let i = 0; i < count; i++) {
      const log = new StatementLog();
      this.logs.push(log);
      const server = http.createServer((req, res) => {
        this.noteArrival(log, req, res);
        if (i === RESTING_TARGET && this.isRefusing())
          this.refuse(log, req, res);
        else this.respond(req, res);
      });
      if (i < LIMITED_TARGETS) this.scheduleLimit(i, log);
      await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
      this.servers.push(server);
    }
    this.timer = setInterval(() => this.announce(nodes, port), HEARTBEAT_MS);
  }

  stop(): void {
    clearInterval(this.timer);
    for (const timer of this.limitTimers.values()) clearTimeout(timer);
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  /** Requests beyond what targets stated. */
  violations(signals: readonly NodeEvent[]): readonly Violation[] {
    return this.logs.flatMap(log => log.violations(signals));
  }

  /** States a limit after a while, and ends it after another. */
  private scheduleLimit(target: number, log: StatementLog): void {
    const begin = () => {
      const nowMs = performance.now();
      const lastsMs =
        MIN_LIMIT_MS + this.random() * (MAX_LIMIT_MS - MIN_LIMIT_MS);
      const perSecond =
        RATE_LIMITS[Math.floor(this.random() * RATE_LIMITS.length)] ?? 1;
      log.limits.push({fromMs: nowMs, untilMs: nowMs + lastsMs, perSecond});
      const next = () => this.scheduleLimit(target, log);
      this.limitTimers.set(target, setTimeout(next, lastsMs));
    };
    const freeMs = this.random() * MAX_FREE_MS;
    this.limitTimers.set(target, setTimeout(begin, freeMs));
  }

  /** Turns requests away for a few seconds at a time. */
  private isRefusing(): boolean {
    const nowMs = performance.now();
    if (nowMs >= this.refusesAgainAtMs) {
      this.refusesUntilMs = nowMs + this.random() * MAX_LIMIT_MS;
      this.refusesAgainAtMs = this.refusesUntilMs + this.random() * MAX_FREE_MS;
    }
    return nowMs < this.refusesUntilMs;
  }

  private refuse(
    log: StatementLog,
    req: http.IncomingMessage,
    res: http.ServerResponse
  ): void {
    const id = String(req.headers[ECHO_HEADER] ?? '');
    const seconds = RESTS_S[Math.floor(this.random() * RESTS_S.length)] ?? 1;
    res.writeHead(503, {
      [NOT_RUN_HEADER]: 'full',
      [ECHO_HEADER]: id,
      [REST_HEADER]: String(seconds),
    });
    res.once('finish', () => {
      const atMs = performance.now();
      const untilMs = atMs + seconds * MS_PER_S;
      log.rests.push({atMs, ip: this.nodeOf(id), untilMs});
    });
    res.end();
  }

  private noteArrival(
    log: StatementLog,
    req: http.IncomingMessage,
    res: http.ServerResponse
  ): void {
    const ip = this.nodeOf(String(req.headers[ECHO_HEADER] ?? ''));
    const nowMs = performance.now();
    log.arrivals.push({atMs: nowMs, ip});
    const limit = log.limits.at(-1);
    if (limit === undefined || nowMs > limit.untilMs) return;
    res.setHeader(RATE_LIMIT_HEADER, String(limit.perSecond));
    res.once('finish', () => log.told.push({atMs: performance.now(), ip}));
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
