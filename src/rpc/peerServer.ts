/** JSON-RPC over HTTPS for calls between our processes. */

import https from 'node:https';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {JSONRPCErrorException, JSONRPCServer} from 'json-rpc-2.0';
import * as z from 'zod';
import {PeerError} from '../core/errors';
import type {Logger} from '../core/logger';
import type {Metrics} from '../core/metrics';
import {PROTOCOL_VERSION} from '../core/protocolVersion';
import type {PeerTraffic} from './peerTraffic';
import {peerIdentity, serverTls} from './peerTls';

/** Path of all JSON-RPC calls. */
export const RPC_PATH = '/rpc';
/** Header with the protocol version. */
export const PROTOCOL_HEADER = 'marlpulley-protocol';
const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

/** JSON-RPC error codes of ours, outside the reserved range. */
export const RPC_CODES = {
  invalidParams: -32602,
  failed: 1,
  notLeader: 2,
} as const;

/** A method: its parameters are validated here, once. */
export interface RpcMethod<P, R> {
  readonly params: z.ZodType<P>;
  handle(params: P, peer: string): Promise<R> | R;
}

/** Errors that a method wants its caller to tell apart. */
export class RpcFailure extends Error {
  constructor(
    readonly code: number,
    message: string,
    readonly data?: unknown
  ) {
    super(message);
    this.name = 'RpcFailure';
  }
}

/** What a peer server is made of. */
export interface PeerServerOptions {
  readonly host: string;
  readonly port: number;
  readonly secret: string;
  /** Accepted besides, while one key replaces the other. */
  readonly acceptSecret?: string;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Counts what passes through the port, dispatches included. */
  readonly traffic?: PeerTraffic;
  /** Takes whatever is no RPC call, such as dispatches to an agent. */
  readonly fallback?: (req: IncomingMessage, res: ServerResponse) => void;
}

/** The internal port of a process. */
export class PeerServer {
  private readonly rpc = new JSONRPCServer<{readonly peer: string}>({
    // The library would write failures to stderr, between the JSON log lines.
    errorListener: (message, data) =>
      this.options.logger.debug({err: String(data)}, message),
  });
  readonly server: https.Server;

  constructor(private readonly options: PeerServerOptions) {
    const tls = serverTls(options.secret, options.acceptSecret);
    this.server = https.createServer(tls, (req, res) =>
      this.dispatch(req, res)
    );
    // The TCP socket, below TLS.
    this.server.on('connection', socket =>
      options.traffic?.track(socket as Socket)
    );
    this.server.on('tlsClientError', err =>
      this.rejected('handshake', err.message)
    );
    this.server.on('clientError', (err, socket) => {
      this.rejected('malformed', err.message);
      socket.destroy();
    });
    // A hung peer must not hold a connection open for ever, but dispatched
    // streams may be long: only the headers are bounded in time.
    this.server.requestTimeout = 0;
    this.server.keepAliveTimeout = 60_000;
  }

  addMethod<P, R>(name: string, method: RpcMethod<P, R>): void {
    this.rpc.addMethod(name, async (raw: unknown, context) => {
      const params = method.params.safeParse(raw);
      if (!params.success) throw this.invalid(name, params.error);
      try {
        return await method.handle(params.data, context.peer);
      } catch (err) {
        throw toRpcException(err);
      }
    });
  }

  /** Resolves with the port, chosen by the kernel when the setting is 0. */
  listen(): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.options.port, this.options.host, () =>
        resolve((this.server.address() as AddressInfo).port)
      );
    });
  }

  close(): Promise<void> {
    return new Promise(resolve => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  private dispatch(req: IncomingMessage, res: ServerResponse): void {
    if (req.url === RPC_PATH && req.method === 'POST') {
      this.receive(req, res).catch((err: unknown) => {
        this.rejected('malformed', String(err));
        res.destroy();
      });
      return;
    }
    if (this.options.fallback !== undefined) {
      this.options.fallback(req, res);
      return;
    }
    res.writeHead(404).end();
  }

  private async receive(
    req: IncomingMessage,
    res: ServerResponse
  ): Promise<void> {
    const theirs = String(req.headers[PROTOCOL_HEADER]);
    if (theirs !== PROTOCOL_VERSION) {
      this.rejected(
        'version',
        `${peerIdentity(req.socket)} speaks version ${theirs}`
      );
      res
        .writeHead(426, {
          [PROTOCOL_HEADER]: PROTOCOL_VERSION,
          connection: 'close',
        })
        .end();
      return;
    }
    const text = await readText(req);
    const answer = await this.rpc.receiveJSON(text, {
      peer: peerIdentity(req.socket),
    });
    const body = JSON.stringify(answer);
    // Polls are most of what control sends: headers that nobody reads cost as
    // much as what they say.
    res.sendDate = false;
    res.writeHead(200, {'content-length': Buffer.byteLength(body)});
    res.end(body);
  }

  private rejected(reason: string, detail: string): void {
    this.options.metrics.count('peer.rejected', {reason});
    this.options.logger.warn(
      {reason, detail},
      'internal connection or message refused'
    );
  }

  private invalid(name: string, err: z.ZodError): JSONRPCErrorException {
    this.rejected('invalid', `${name}: ${err.message}`);
    return new JSONRPCErrorException(
      z.prettifyError(err),
      RPC_CODES.invalidParams
    );
  }
}

function toRpcException(err: unknown): JSONRPCErrorException {
  if (err instanceof RpcFailure)
    return new JSONRPCErrorException(err.message, err.code, err.data);
  const detail = err instanceof PeerError ? err.fault : undefined;
  return new JSONRPCErrorException(String(err), RPC_CODES.failed, detail);
}

async function readText(req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of req as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > MAX_MESSAGE_BYTES) throw new Error('message too large');
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}
