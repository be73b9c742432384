/** HTTP server for callers: connections, their timeouts, and draining. */

import http from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Duplex} from 'node:stream';
import {Subscription, interval} from 'rxjs';
import type {Inbound} from '../inbound/inbound';
import type {ServerGuard} from '../inbound/serverGuard';
import {closeAfterLinger} from '../inbound/lingeringClose';
import type {Gateway} from './gateway';
import {clientErrorStatus} from '../core/clientErrorStatus';
import {abortResponse} from '../core/responseEnd';
import {serveRequest} from './serveRequest';
import {STOPPING_REFUSAL} from './stopRefusal';

/** Timeouts until a site is known; the limits of the site replace them. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
const DEFAULT_HEADER_TIMEOUT_MS = 3_000;
const MAX_HEADER_BYTES = 64 << 10;
/** A queued request outlives its maximum wait by at most this time. */
const QUEUE_EXPIRY_INTERVAL_MS = 20;
/** Interval at which the timeouts are updated from the limits of the site. */
const LIMITS_REFRESH_INTERVAL_MS = 500;
const DRAIN_POLL_INTERVAL_MS = 50;

/** Serves requests of callers. */
export class GatewayServer {
  private readonly server: http.Server;
  private readonly guard: ServerGuard;
  private readonly subscription = new Subscription();
  private readonly activeResponses = new Set<http.ServerResponse>();
  /** Whether new requests are refused without reading their bodies. */
  private refusesRequests = false;

  constructor(
    private readonly gateway: Gateway,
    inbound: Inbound
  ) {
    this.server = http.createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      connectionsCheckingInterval: 1_000,
    });
    const handler = (req: http.IncomingMessage, res: http.ServerResponse) =>
      void this.serve(req, res);
    this.guard = inbound.guard('callers', handler);
    this.guard.attach(this.server);
    this.server.on('clientError', (err: NodeJS.ErrnoException, socket) =>
      this.handleClientError(err, socket)
    );
    this.server.keepAliveTimeout = DEFAULT_IDLE_TIMEOUT_MS;
    this.server.headersTimeout = DEFAULT_HEADER_TIMEOUT_MS;
    this.server.requestTimeout = 0;
    this.subscription.add(
      interval(QUEUE_EXPIRY_INTERVAL_MS).subscribe(() => this.gateway.tick())
    );
    this.subscription.add(
      interval(LIMITS_REFRESH_INTERVAL_MS).subscribe(() => this.applyLimits())
    );
  }

  /** Resolves with the port. */
  listen({host, port}: {host: string; port: number}): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () =>
        resolve((this.server.address() as AddressInfo).port)
      );
    });
  }

  /**
   * Closes the connection of each request that arrives from now on, and refuses those
   * that can't end within `ms`.
   */
  beginDrain(ms: number): void {
    this.guard.beginDrain();
    this.gateway.requests.beginStop(performance.now() + ms);
  }

  /** Refuses all new requests; those in progress continue. */
  refuseNewRequests(): void {
    this.refusesRequests = true;
  }

  /** Resolves when no request is in progress, or after `ms`. */
  async waitUntilIdle(ms: number): Promise<void> {
    const endMs = performance.now() + ms;
    while (this.activeResponses.size > 0 && performance.now() < endMs)
      await new Promise(resolve => setTimeout(resolve, DRAIN_POLL_INTERVAL_MS));
  }

  /** Answers the requests in progress; resolves when that is written, or after `ms`. */
  async endRequests(ms: number): Promise<void> {
    this.gateway.requests.endAll();
    await this.waitUntilIdle(ms);
  }

  close(): void {
    this.subscription.unsubscribe();
    this.server.close();
    this.server.closeIdleConnections();
  }

  /**
   * Aborts the responses in progress. Otherwise the kernel closes their connections in
   * order when the process exits.
   */
  abortResponses(): void {
    for (const res of this.activeResponses) abortResponse(res);
  }

  private async serve(
    req: http.IncomingMessage,
    res: http.ServerResponse
  ): Promise<void> {
    this.activeResponses.add(res);
    const {socket} = req;
    const onClose = () => {
      this.activeResponses.delete(res);
      socket.off('close', onClose);
    };
    // A response that was written may still be on its way to a slow reader. One that is
    // queued behind another gets no event of its own when their connection closes.
    res.once('close', onClose);
    socket.once('close', onClose);
    if (this.refusesRequests) this.refuseAsStopping(res);
    else await serveRequest(this.gateway, req, res);
  }

  /**
   * Answers bytes that are no request, or a head that is late. After a whole request that
   * is in progress, its caller would take that for the answer to it, and it may have run.
   */
  private handleClientError(err: NodeJS.ErrnoException, socket: Duplex): void {
    const isInProgress = [...this.activeResponses].some(
      res => res.socket === socket && res.req.complete
    );
    if (isInProgress || !socket.writable) socket.destroy();
    else
      closeAfterLinger(
        socket,
        `HTTP/1.1 ${clientErrorStatus(err.code)}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`
      );
  }

  private refuseAsStopping(res: http.ServerResponse): void {
    const response = this.gateway.parts.callers.refuse(STOPPING_REFUSAL);
    res.writeHead(response.status, {
      ...response.headers,
      'content-length': Buffer.byteLength(response.body),
    });
    res.end(response.body);
  }

  private applyLimits(): void {
    const limits = this.gateway.view?.index?.site.limits;
    if (limits === undefined) return;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
    this.server.headersTimeout = limits.headerTimeoutMs;
  }
}
