/** The port for callers: health pages, the filter chain, lame duck. */

import {randomUUID} from 'node:crypto';
import http, {IncomingMessage, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Duplex} from 'node:stream';
import {Refusal, RefusalError, refuse} from '../core/refusal';
import {sendJson} from '../core/sendJson';
import type {EntrySettings} from '../settings/settings';
import {answerBadClient} from './answerBadClient';
import {answerRefusal} from './answerRefusal';
import {ClassifiedCall, Filter, ReceivedCall, chain} from './call';
import type {EntryCore} from './entryCore';
import {classify} from './filters/classify';
import {identify} from './filters/identify';
import {requireKey} from './filters/requireKey';
import {serveCall} from './serveCall';
import {serveOnce} from './serveOnce';

/** Paths that are answered here and never routed. */
export const HEALTH_PATH = '/marlpulley/health';
/** Fails while the process should get no new requests. */
export const READY_PATH = '/marlpulley/ready';

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;
const RULES_RETRY_MS = 1_000;
/** Node looks for slow heads this seldom, 30 s by default. */
const SLOW_CHECK_MS = 500;

/** Serves callers until it is drained. */
export class CallerServer {
  private readonly server: http.Server;
  private readonly filters: Filter<ReceivedCall, ClassifiedCall>;
  private draining = false;
  /** The newest answer on each connection. */
  private readonly answers = new WeakMap<Duplex, ServerResponse>();

  constructor(
    private readonly core: EntryCore,
    private readonly settings: EntrySettings
  ) {
    const {callers, customerKeys} = settings;
    const {entryId, random} = core;
    const {customerHeader, maxBodyBytes} = callers;
    this.filters = chain(
      identify({entryId, customerHeader, customerKeys}),
      classify({entryId, maxBodyBytes, random})
    );
    const options = {
      maxHeaderSize: callers.maxHeaderBytes,
      headersTimeout: callers.headerTimeoutMs,
      connectionsCheckingInterval: SLOW_CHECK_MS,
    };
    this.server = http.createServer(options, (req, res) =>
      this.received(req, res)
    );
    // The 100-continue goes out when the body is read, after the refusals.
    this.server.on(
      'checkContinue',
      (req: IncomingMessage, res: ServerResponse) => this.received(req, res)
    );
    this.server.on('clientError', (err: NodeJS.ErrnoException, socket) =>
      this.badClient(err, socket)
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
   * Lame duck: not ready at once, but serving until the platform has stopped
   * sending; then no new connections, and every request in hand to its end.
   */
  async drain(): Promise<void> {
    this.draining = true;
    await new Promise(resolve =>
      setTimeout(resolve, this.settings.callers.drainMs)
    );
    await this.close();
  }

  close(): Promise<void> {
    return new Promise(resolve => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
  }

  private received(req: IncomingMessage, res: ServerResponse): void {
    if (req.url === HEALTH_PATH) return sendJson(res, HTTP_OK, {alive: true});
    if (req.url === READY_PATH) return this.answerReady(res);
    // A connection that goes on being used would keep the drain from ending.
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
        RULES_RETRY_MS
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

  private answerReady(res: ServerResponse): void {
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
        'request failed'
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
    core.logger.info({requestId, refusal}, 'refused');
    answerRefusal(res, requestId, refusal);
  }

  private badClient(err: NodeJS.ErrnoException, socket: Duplex): void {
    const {core} = this;
    core.metrics.count('request.refused', {
      reason: 'malformed-request',
      step: 'receive',
    });
    // An answer of ours would be read as that of the request in hand, and say
    // "not run" of one that may be running.
    const inHand = this.answers.get(socket);
    if (!socket.writable || inHand?.writableFinished === false) {
      socket.destroy();
      return;
    }
    answerBadClient(core.entryId, err.code, socket);
  }
}
