/** Bounds what a server reads of the bodies of requests that were answered. */

import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {LimitReporter, PortName} from './limitReporter';
import {boundUnreadBody} from './unreadBody';

/** Serves one request. */
export type RequestHandler = (
  req: IncomingMessage,
  res: ServerResponse
) => void;

/** Bounds of one server. */
export interface ServerGuardOptions {
  readonly port: PortName;
  readonly reporter: LimitReporter;
}

/** Stands between a server and the handler of its requests. */
export class ServerGuard {
  private isDraining = false;

  constructor(
    private readonly options: ServerGuardOptions,
    private readonly handler: RequestHandler
  ) {}

  /** Closes the connection of each request that arrives from now on. */
  beginDrain(): void {
    this.isDraining = true;
  }

  /** Guards a server. */
  attach(server: Server): void {
    server.on('request', (req, res) => this.handle(req, res));
  }

  /** Handles a request that a server emits by another event. */
  handle(req: IncomingMessage, res: ServerResponse): void {
    if (this.isDraining) res.shouldKeepAlive = false;
    const {port, reporter} = this.options;
    boundUnreadBody(req, res, () =>
      reporter.report({
        port,
        reason: 'unreadBody',
        client: req.socket.remoteAddress,
      })
    );
    this.handler(req, res);
  }
}
