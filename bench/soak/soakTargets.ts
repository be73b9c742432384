/**
 * Targets of the soak, which run, refuse or reset requests, state what they ask for,
 * and record what they got.
 */

import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {
  ECHO_HEADER,
  LAST_EVENT_HEADER,
  NOT_RUN_HEADER,
  SEAL_HEADER,
  STREAM_TYPE,
  announcement,
  announcementPath,
} from '../../platform/counterpart';
import {send} from './send';
import {piecesOf, writeResponse} from './soakResponses';
import type {Violation} from './soakCallers';
import type {NodeEvent} from './statementLog';
import {StatementLog} from './statementLog';
import type {TargetState} from './targetStates';
import {
  LeavingState,
  LimitedState,
  PlainState,
  RestingState,
} from './targetStates';

/** Shares of the requests that are refused, reset before they run, and reset after. */
const REFUSED_SHARE = 0.05;
const RESET_BEFORE_RUN_SHARE = 0.03;
const RESET_AFTER_RUN_SHARE = 0.03;
const HEARTBEAT_MS = 300;
const MAX_WORK_MS = 30;
/** What the targets state, one after the other; several of them serve on. */
const STATES = [
  LimitedState,
  PlainState,
  RestingState,
  LeavingState,
  LimitedState,
  PlainState,
] as const;

interface Target {
  readonly server: http.Server;
  readonly log: StatementLog;
  readonly state: TargetState;
}

/** All targets of one service. */
export class SoakTargets {
  /** Runs by attempt id. */
  readonly runs = new Map<string, number>();
  /** Attempt ids of which a run ended early without a sign of it. */
  readonly openEnds = new Set<string>();
  private readonly targets: Target[] = [];
  private timer: NodeJS.Timeout | undefined;
  private sequence = 0;

  constructor(
    private readonly service: string,
    private readonly random: () => number,
    /** The node that a caller sent a request to, by its attempt id. */
    private readonly nodeOf: (id: string) => string
  ) {}

  async start(nodes: readonly string[], port: number) {
    for (const State of STATES) {
      const log = new StatementLog();
      const state = new State(log, this.random);
      const server = http.createServer((req, res) =>
        this.handle(req, res, log, state)
      );
      await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
      this.targets.push({server, log, state});
    }
    this.timer = setInterval(() => this.announce(nodes, port), HEARTBEAT_MS);
  }

  stop(): void {
    clearInterval(this.timer);
    for (const {server, state} of this.targets) {
      state.stop();
      server.close();
      server.closeAllConnections();
    }
  }

  /** Requests beyond what targets asked for. */
  violations(disturbances: readonly NodeEvent[]): readonly Violation[] {
    return this.targets.flatMap(({log}) => log.violations(disturbances));
  }

  /** Each target announces itself to one node, a different one each time. */
  private announce(nodes: readonly string[], port: number): void {
    this.sequence++;
    this.targets.forEach(({server, state}, i) => {
      const {port: own} = server.address() as AddressInfo;
      const {sequence, service} = this;
      const address = `127.0.0.1:${own}`;
      const body = announcement(service, address, state.bornMs, sequence);
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

  private handle(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    log: StatementLog,
    state: TargetState
  ): void {
    const id = String(req.headers[ECHO_HEADER] ?? '');
    const ip = this.nodeOf(id);
    log.arrivals.push({atMs: performance.now(), ip});
    if (state.apply({id, ip, res})) this.respond(id, req, res);
  }

  private respond(
    id: string,
    req: http.IncomingMessage,
    res: http.ServerResponse
  ): void {
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
      else void this.serve(id, req, res);
    }, this.random() * MAX_WORK_MS);
  }

  private async serve(
    id: string,
    req: http.IncomingMessage,
    res: http.ServerResponse
  ): Promise<void> {
    const isStream = req.url?.startsWith('/s/') === true;
    res.setHeader(ECHO_HEADER, id);
    res.setHeader(SEAL_HEADER, `seal-${id}`);
    res.setHeader('content-type', isStream ? STREAM_TYPE : 'text/plain');
    const lastEventId = Number(req.headers[LAST_EVENT_HEADER] ?? 0);
    const pieces = piecesOf(id, isStream);
    const {random} = this;
    const isOpen = await writeResponse(res, pieces, lastEventId, random);
    if (isOpen) this.openEnds.add(id);
  }
}
