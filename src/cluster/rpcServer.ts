/** Serves JSON-RPC calls of other nodes over HTTP. */

import http from 'node:http';
import {JSONRPCServer} from 'json-rpc-2.0';
import type {JSONRPCRequest} from 'json-rpc-2.0';
import type * as z from 'zod';
import type {Logger} from '../core/logger';
import {readText} from '../core/readBody';
import type {Inbound} from '../inbound/inbound';

/** A snapshot of the log arrives in chunks of 1 MiB characters. */
const MAX_BODY_BYTES = 8 << 20;
/** Longer than `RpcClient` keeps idle connections, so that it closes them first. */
const IDLE_TIMEOUT_MS = 15_000;
/** Nodes give a call up sooner. */
const BODY_TIMEOUT_MS = 10_000;
const CHECK_INTERVAL_MS = 1_000;

/** The internal port of a node. */
export class RpcServer {
  private readonly methods = new JSONRPCServer({
    errorListener: (message, data) =>
      this.logger.debug({step: 'rpc', data: String(data)}, message),
  });
  private readonly server = http.createServer({
    connectionsCheckingInterval: CHECK_INTERVAL_MS,
  });

  constructor(
    private readonly logger: Logger,
    private readonly inbound: Inbound
  ) {
    this.server.keepAliveTimeout = IDLE_TIMEOUT_MS;
    this.server.headersTimeout = BODY_TIMEOUT_MS;
    const handler = (req: http.IncomingMessage, res: http.ServerResponse) =>
      void this.answer(req, res);
    inbound.guard('internal', handler).attach(this.server);
  }

  /** Registers a method; its parameters are validated by the schema. */
  addMethod<T>(
    name: string,
    schema: z.ZodType<T>,
    handle: (params: T) => Promise<unknown>
  ): void {
    this.methods.addMethod(name, (params: unknown) =>
      handle(schema.parse(params))
    );
  }

  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async answer(
    req: http.IncomingMessage,
    res: http.ServerResponse
  ): Promise<void> {
    const room = this.inbound.memory.open('nodes');
    try {
      const text = await readText(req, {
        maxBytes: MAX_BODY_BYTES,
        timeoutMs: BODY_TIMEOUT_MS,
        room,
      });
      const request = JSON.parse(text) as JSONRPCRequest;
      const response = await this.methods.receive(request);
      res.setHeader('content-type', 'application/json');
      res.end(JSON.stringify(response));
    } catch (err) {
      this.logger.warn({step: 'rpc', err: String(err)}, 'RPC request failed');
      res.destroy();
    } finally {
      room.release();
    }
  }
}
