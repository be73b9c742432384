/** Server for JSON-RPC over HTTPS between our processes. */

import https from 'node:https';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {JSONRPCErrorException, JSONRPCServer} from 'json-rpc-2.0';
import * as z from 'zod';
import {PeerError} from '../core/errors';
import type {Logger} from '../core/logger';
import type {Metrics} from '../core/metrics';
import {readText} from '../core/readBody';
import {PROTOCOL_VERSION} from '../core/protocolVersion';
import type {Inbound} from '../inbound/inbound';
import type {PeerTraffic} from './peerTraffic';
import {peerIdentity, serverTls} from './peerTls';

/** URL path of all JSON-RPC calls. */
export const RPC_PATH = '/rpc';
/** HTTP header with the protocol version of the sender. */
export const PROTOCOL_HEADER = 'marlpulley-protocol';
/** A message of the largest size takes less over a slow link. */
const MESSAGE_TIMEOUT_MS = 60_000;
const HANDSHAKE_TIMEOUT_MS = 10_000;
const CHECK_INTERVAL_MS = 1_000;
/** Largest message in either direction, bytes. */
export const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

/**
 * JSON-RPC error codes: the standard one for invalid parameters, and our own
 * outside the reserved range.
 */
export const RPC_CODES = {
  invalidParams: -32602,
  failed: 1,
  notLeader: 2,
} as const;

/** A JSON-RPC method; the server validates its parameters by `params`. */
export interface RpcMethod<P, R> {
  readonly params: z.ZodType<P>;
  handle(params: P, peer: string): Promise<R> | R;
}

/** An error whose code and data are returned to the caller of the method. */
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

/** Options of a peer server. */
export interface PeerServerOptions {
  readonly host: string;
  readonly port: number;
  readonly secret: string;
  /** Also accepted from clients, while the shared secret is being replaced. */
  readonly acceptSecret?: string;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly inbound: Inbound;
  /** Counts all bytes through the port, those of dispatches included. */
  readonly traffic?: PeerTraffic;
  /** Handles requests other than RPC calls, such as dispatches to an agent. */
  readonly fallback?: (req: IncomingMessage, res: ServerResponse) => void;
}

/** HTTPS server on the internal port of a process. */
export class PeerServer {
  private readonly rpc = new JSONRPCServer<{readonly peer: string}>({
    // The library writes errors to stderr by default, between JSON log lines.
    errorListener: (message, data) =>
      this.options.logger.debug({err: String(data)}, message),
  });
  readonly server: https.Server;
  private readonly sockets = new Set<Socket>();

  constructor(private readonly options: PeerServerOptions) {
    const tls = serverTls(options.secret, options.acceptSecret);
    this.server = https.createServer({
      ...tls,
      handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
    });
    options.inbound
      .guard('internal', (req, res) => this.handleRequest(req, res))
      .attachSecure(this.server);
    // Emitted with the TCP socket underneath TLS.
    this.server.on('connection', (socket: Socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
      options.traffic?.trackSocket(socket);
    });
    this.server.on('tlsClientError', err =>
      this.recordRejection('handshake', err.message)
    );
    this.server.on('clientError', (err, socket) => {
      this.recordRejection('malformed', err.message);
      socket.destroy();
    });
    // Dispatched streams may be long, so only the time for the headers is
    // limited. That keeps hung peers from holding connections open forever.
    this.server.requestTimeout = 0;
    this.server.keepAliveTimeout = 60_000;
  }

  addMethod<P, R>(name: string, method: RpcMethod<P, R>): void {
    this.rpc.addMethod(name, async (rawParams: unknown, context) => {
      const params = method.params.safeParse(rawParams);
      if (!params.success) throw this.rejectParams(name, params.error);
      try {
        return await method.handle(params.data, context.peer);
      } catch (err) {
        throw toRpcException(err);
      }
    });
  }

  /** Resolves with the bound port; for port 0 the kernel chooses one. */
  listen(): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.options.port, this.options.host, () =>
        resolve((this.server.address() as AddressInfo).port)
      );
    });
  }

  /**
   * Ends all connections. `closeAllConnections` leaves out those in a TLS
   * handshake, which then serve on: an idle one held a close up for 61 s, the
   * keep-alive time and a second.
   */
  close(): Promise<void> {
    return new Promise(resolve => {
      this.server.close(() => resolve());
      for (const socket of this.sockets) socket.destroy();
    });
  }

  private handleRequest(req: IncomingMessage, res: ServerResponse): void {
    if (req.url === RPC_PATH && req.method === 'POST') {
      this.handleRpc(req, res).catch((err: unknown) => {
        this.recordRejection('malformed', String(err));
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

  private async handleRpc(
    req: IncomingMessage,
    res: ServerResponse
  ): Promise<void> {
    const peerVersion = String(req.headers[PROTOCOL_HEADER]);
    if (peerVersion !== PROTOCOL_VERSION) {
      this.recordRejection(
        'version',
        `${peerIdentity(req.socket)} speaks version ${peerVersion}`
      );
      res
        .writeHead(426, {
          [PROTOCOL_HEADER]: PROTOCOL_VERSION,
          connection: 'close',
        })
        .end();
      return;
    }
    const room = this.options.inbound.memory.open('nodes');
    const text = await readText(req, {
      maxBytes: MAX_MESSAGE_BYTES,
      timeoutMs: MESSAGE_TIMEOUT_MS,
      room,
    }).finally(() => room.release());
    const reply = await this.rpc.receiveJSON(text, {
      peer: peerIdentity(req.socket),
    });
    const body = JSON.stringify(reply);
    // Poll replies are most of what control sends. An unused Date header would
    // cost about as much as their content.
    res.sendDate = false;
    res.writeHead(200, {'content-length': Buffer.byteLength(body)});
    res.end(body);
  }

  private recordRejection(reason: string, detail: string): void {
    this.options.metrics.count('peer.rejected', {reason});
    this.options.logger.warn(
      {reason, detail},
      'internal connection or message rejected'
    );
  }

  private rejectParams(name: string, err: z.ZodError): JSONRPCErrorException {
    this.recordRejection('invalid', `${name}: ${err.message}`);
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
