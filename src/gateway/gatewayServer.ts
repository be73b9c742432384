/** The address of callers: connections, their limits, and an orderly end. */

import http from 'node:http';
import {Subscription, interval} from 'rxjs';
import type {Gateway} from './gateway';
import {serveRequest} from './serveRequest';

/** Before a site is known; a site's own limits replace them. */
const FIRST_IDLE_MS = 15_000;
const FIRST_HEADER_MS = 3_000;
const MAX_HEADER_BYTES = 64 << 10;
/** Requests that waited too long are found this much later at most. */
const TICK_MS = 20;
/** How often the limits of the site are looked at. */
const LIMITS_PERIOD_MS = 500;
const DRAIN_LOOK_MS = 50;

/** Serves callers. */
export class GatewayServer {
  private readonly server: http.Server;
  private readonly subscription = new Subscription();
  private active = 0;
  /** While set, requests are turned away unread. */
  private turnsAway = false;
  private closing = false;

  constructor(private readonly gateway: Gateway) {
    this.server = http.createServer(
      {maxHeaderSize: MAX_HEADER_BYTES, connectionsCheckingInterval: 1_000},
      (req, res) => void this.serve(req, res)
    );
    this.server.keepAliveTimeout = FIRST_IDLE_MS;
    this.server.headersTimeout = FIRST_HEADER_MS;
    this.server.requestTimeout = 0;
    this.subscription.add(
      interval(TICK_MS).subscribe(() => this.gateway.tick())
    );
    this.subscription.add(
      interval(LIMITS_PERIOD_MS).subscribe(() => this.applyLimits())
    );
  }

  listen({host, port}: {host: string; port: number}): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  /** From now on each answer ends its connection. */
  beginDrain(): void {
    this.closing = true;
  }

  /** From now on nothing more is begun. */
  turnAway(): void {
    this.turnsAway = true;
  }

  /** Resolves when nothing is in work any more, or after `ms`. */
  async idle(ms: number): Promise<void> {
    const endMs = performance.now() + ms;
    while (this.active > 0 && performance.now() < endMs)
      await new Promise(resolve => setTimeout(resolve, DRAIN_LOOK_MS));
  }

  close(): void {
    this.subscription.unsubscribe();
    this.server.close();
    this.server.closeIdleConnections();
  }

  private async serve(
    req: http.IncomingMessage,
    res: http.ServerResponse
  ): Promise<void> {
    this.active++;
    try {
      if (this.closing) res.shouldKeepAlive = false;
      if (this.turnsAway) this.refuseStopping(res);
      else await serveRequest(this.gateway, req, res);
    } finally {
      this.active--;
    }
  }

  private refuseStopping(res: http.ServerResponse): void {
    const refusal = {kind: 'stopping', retryInMs: RETRY_ELSEWHERE_MS} as const;
    const answer = this.gateway.parts.callers.refuse(refusal);
    res.writeHead(answer.status, {
      ...answer.headers,
      'content-length': Buffer.byteLength(answer.body),
    });
    res.end(answer.body);
  }

  private applyLimits(): void {
    const limits = this.gateway.view?.index?.site.limits;
    if (limits === undefined) return;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
    this.server.headersTimeout = limits.headerTimeoutMs;
  }
}

/** Another node takes the next try at once. */
const RETRY_ELSEWHERE_MS = 50;
