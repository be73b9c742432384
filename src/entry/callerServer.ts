/** The HTTP server for callers: health checks, the filter chain, draining. */

import {randomUUID} from 'node:crypto';
import http, {IncomingMessage, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Duplex} from 'node:stream';
import {Refusal, RefusalError, refuse} from '../core/refusal';
import {sendJson} from '../core/sendJson';
import type {Inbound} from '../inbound/inbound';
import type {EntrySettings} from '../settings/settings';
import {sendClientError} from './sendClientError';
import {sendRefusal} from './sendRefusal';
import {ClassifiedCall, Filter, ReceivedCall, chain} from './call';
import type {EntryCore} from './entryCore';
import {classify} from './filters/classify';
import {identify} from './filters/identify';
import {requireKey} from './filters/requireKey';
import {serveCall} from './serveCall';
import {serveOnce} from './serveOnce';

/** Liveness check. It is served here and never routed, like READY_PATH. */
export const HEALTH_PATH = '/marlpulley/health';
/** Readiness check; it fails while the process should get no new requests. */
export const READY_PATH = '/marlpulley/ready';

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;
const RULES_RETRY_AFTER_MS = 1_000;
/** Interval at which Node enforces the header timeout; its default is 30 s. */
const HEADER_TIMEOUT_CHECK_MS = 500;

/** Serves callers until it is drained. */
export class CallerServer {
  private readonly server: http.Server;
  private readonly filters: Filter<ReceivedCall, ClassifiedCall>;
  private draining = false;
  /** The latest response on each connection. */
  private readonly answers = new WeakMap<Duplex, ServerResponse>();
  private readonly sockets = new Set<Duplex>();

  constructor(
    private readonly core: EntryCore,
    private readonly settings: EntrySettings,
    inbound: Inbound
  ) {
    const {callers, customerKeys} = settings;
    const {entryId, random} = core;
    const {customerHeader, maxBodyBytes} = callers;
    this.filters = chain(
      identify({entryId, customerHeader, customerKeys}),
      classify({entryId, maxBodyBytes, memory: inbound.memory, random})
    );
    const options = {
      maxHeaderSize: callers.maxHeaderBytes,
      headersTimeout: callers.headerTimeoutMs,
      connectionsCheckingInterval: HEADER_TIMEOUT_CHECK_MS,
    };
    this.server = http.createServer(options);
    const guard = inbound.guard('callers', (req, res) =>
      this.received(req, res)
    );
    guard.attach(this.server);
    // Such a request gets its 100 Continue later, from `classify`, so that a
    // refused caller sends no body.
    this.server.on(
      'checkContinue',
      (req: IncomingMessage, res: ServerResponse) => guard.handle(req, res)
    );
    this.server.on('connection', (socket: Duplex) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
    this.server.on('clientError', (err: NodeJS.ErrnoException, socket) =>
      this.handleClientError(err, socket)
    );
  }

  listen(): Promise<number> {
    const {callers, process} = this.settings;
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(callers.port, process.host, () =>
        resolve((this.server.address() as AddressInfo).port)
      );
    });
  }

  /**
   * Reports "not ready" at once, but serves for another `drainMs`, until the
   * platform has stopped sending. Then accepts no new connections and completes
   * every request in progress.
   */
  async drain(): Promise<void> {
    this.draining = true;
    await new Promise(resolve =>
      setTimeout(resolve, this.settings.callers.drainMs)
    );
    await this.close();
  }

  /**
   * Completes every request in progress. Node ends neither the connections that
   * have sent no request nor, once the server closes, those that are late with
   * the head of one, so both end here after the header timeout.
   */
  async close(): Promise<void> {
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve())
    );
    this.server.closeIdleConnections();
    const timer = setTimeout(
      () => this.endUnusedConnections(),
      this.settings.callers.headerTimeoutMs
    );
    await closed;
    clearTimeout(timer);
  }

  private endUnusedConnections(): void {
    for (const socket of this.sockets) {
      const latestResponse = this.answers.get(socket);
      if (latestResponse?.writableFinished !== false) socket.destroy();
    }
  }

  private received(req: IncomingMessage, res: ServerResponse): void {
    if (req.url === HEALTH_PATH) return sendJson(res, HTTP_OK, {alive: true});
    if (req.url === READY_PATH) return this.sendReadiness(res);
    // A connection that stays in use would keep the drain from ending.
    if (this.draining) res.setHeader('connection', 'close');
    this.answers.set(req.socket, res);
    const requestId = randomUUID();
    this.serve(req, res, requestId).catch((err: unknown) =>
      this.failed(res, requestId, err)
    );
  }

  private async serve(
    req: IncomingMessage,
    res: ServerResponse,
    requestId: string
  ): Promise<void> {
    const {core} = this;
    const freshness = core.sync.freshness();
    const rules = core.sync.rules?.index;
    if (rules === undefined || freshness.kind === 'unproven') {
      throw refuse(
        'rules-unproven',
        'receive',
        core.entryId,
        'no quorum of control confirmed the rules',
        RULES_RETRY_AFTER_MS
      );
    }
    await this.filters({req, res, requestId, rules}, call => this.answer(call));
  }

  private async answer(call: ClassifiedCall): Promise<void> {
    const {core} = this;
    core.metrics.count('request.received', {customer: call.customer});
    const key = requireKey(core.entryId, call);
    await (key === undefined
      ? serveCall(core, call)
      : serveOnce(core, call, key));
    core.metrics.count('request.answered', {
      customer: call.customer,
      status: String(call.res.statusCode),
    });
  }

  private sendReadiness(res: ServerResponse): void {
    const freshness = this.core.sync.freshness().kind;
    const ready = !this.draining && freshness !== 'unproven';
    sendJson(res, ready ? HTTP_OK : HTTP_UNAVAILABLE, {
      ready,
      draining: this.draining,
      freshness,
    });
  }

  private failed(res: ServerResponse, requestId: string, err: unknown): void {
    const {core} = this;
    if (!(err instanceof RefusalError)) {
      core.logger.error(
        {requestId, err: err instanceof Error ? err.stack : String(err)},
        'unexpected error while serving a request'
      );
    }
    const refusal: Refusal =
      err instanceof RefusalError
        ? err.refusal
        : {
            reason: 'outcome-unknown',
            step: 'receive',
            peer: core.entryId,
            detail: 'internal error',
          };
    const {reason, step} = refusal;
    core.metrics.count('request.refused', {reason, step});
    core.logger.info({requestId, refusal}, 'request refused');
    sendRefusal(res, requestId, refusal);
  }

  private handleClientError(err: NodeJS.ErrnoException, socket: Duplex): void {
    const {core} = this;
    core.metrics.count('request.refused', {
      reason: 'malformed-request',
      step: 'receive',
    });
    // The caller would read an error sent now as the response to the request in
    // progress, which may be running although the error says "not run".
    const latestResponse = this.answers.get(socket);
    if (!socket.writable || latestResponse?.writableFinished === false) {
      socket.destroy();
      return;
    }
    sendClientError(core.entryId, err.code, socket);
  }
}
