/** Bounds the connections of a server, the requests on each, and unread bodies. */

import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {clientErrorStatus} from '../core/clientErrorStatus';
import {hasOnlyTokenNames} from '../core/fieldSyntax';
import {holdReading} from '../core/holdReading';
import {Connection, ConnectionTable} from './connectionTable';
import type {LimitReason, LimitReporter, PortName} from './limitReporter';
import type {MemoryAccount, MemoryUse} from './memoryAccount';
import {closeAfterLinger} from './lingeringClose';
import {boundUnreadBody} from './unreadBody';

/** Requests that were read at once with one too many wait up to this number. */
const MAX_WAITING_REQUESTS = 64;
/** Memory of a request besides its body. */
const REQUEST_BYTES = 8 << 10;

/** Serves one request. */
export type RequestHandler = (
  req: IncomingMessage,
  res: ServerResponse
) => void;

/** Bounds of one server. */
export interface ServerGuardOptions {
  readonly port: PortName;
  readonly use: MemoryUse;
  readonly maxConnections: number;
  /** Requests in progress on one connection; no more are read meanwhile. */
  readonly maxRequests: number;
  readonly memory: MemoryAccount;
  readonly reporter: LimitReporter;
}

/** Stands between a server and the handler of its requests. */
export class ServerGuard {
  private readonly connections: ConnectionTable;
  private isDraining = false;
  private server: Server | undefined;
  /** Connections of a TLS server, by the client's address and port. */
  private readonly handshakes = new Map<string, Connection>();

  constructor(
    private readonly options: ServerGuardOptions,
    private readonly handler: RequestHandler
  ) {
    this.connections = new ConnectionTable(options.maxConnections);
  }

  /** Closes the connection of each request that arrives from now on. */
  beginDrain(): void {
    this.isDraining = true;
  }

  /** Open connections. */
  get connectionCount(): number {
    return this.connections.size;
  }

  /** Guards a server. */
  attach(server: Server): void {
    this.server = server;
    server.on('connection', (socket: Socket) => this.accept(socket));
    server.on('request', (req, res) => this.handle(req, res));
  }

  /** Guards a server whose requests come over the sockets inside of its connections. */
  attachSecure(server: Server): void {
    this.server = server;
    server.on('connection', (socket: Socket) => {
      const key = clientOf(socket);
      this.handshakes.set(key, this.accept(socket));
      socket.once('close', () => this.handshakes.delete(key));
    });
    server.on('secureConnection', (socket: Socket) => {
      const connection = this.handshakes.get(clientOf(socket));
      if (connection !== undefined) this.connections.carry(connection, socket);
    });
    server.on('request', (req, res) => this.handle(req, res));
  }

  /** Handles a request that a server emits by another event. */
  handle(req: IncomingMessage, res: ServerResponse): void {
    const connection = this.connections.find(req.socket);
    // It was closed while the bytes that it had sent were parsed.
    if (connection === undefined) return;
    // The parsers of some runtimes accept such names, which can't be sent on.
    if (!hasOnlyTokenNames(req.rawHeaders)) return this.refuse(req.socket);
    const {requestCount, holding} = connection;
    if (requestCount > 0 && !holding.grow(requestCount * REQUEST_BYTES))
      return this.close(connection, 'memory');
    if (connection.responses.size < this.options.maxRequests)
      return this.begin(connection, req, res);
    if (connection.waiting.length >= MAX_WAITING_REQUESTS)
      return this.close(connection, 'requests');
    connection.resumeReading ??= holdReading(req.socket);
    connection.waiting.push(() => this.begin(connection, req, res));
  }

  private accept(socket: Socket): Connection {
    const {memory, use} = this.options;
    const connection = new Connection(socket, memory.open(use));
    this.connections.add(connection);
    socket.once('close', () => {
      this.connections.remove(connection);
      connection.holding.release();
    });
    if (this.connections.isOverfull)
      this.close(this.connections.surplus(connection), 'connections');
    return connection;
  }

  private begin(
    connection: Connection,
    req: IncomingMessage,
    res: ServerResponse
  ): void {
    if (this.isDraining && !connection.closeAfter(res)) return;
    connection.begin(res);
    boundUnreadBody(req, res, () => this.report(connection, 'unreadBody'));
    res.once('close', () => this.end(connection, res));
    this.handler(req, res);
  }

  private end(connection: Connection, res: ServerResponse): void {
    connection.responses.delete(res);
    if (connection.socket.destroyed) return;
    this.connections.touch(connection);
    connection.holding.grow(connection.requestCount * REQUEST_BYTES);
    const begin = connection.waiting.shift();
    if (begin !== undefined) return begin();
    connection.resumeReading?.();
    connection.resumeReading = undefined;
  }

  /** Handles a malformed request like one that the parser fails on. */
  private refuse(socket: Socket): void {
    const err = new Error('invalid field name');
    if (this.server?.emit('clientError', err, socket) === true) return;
    const head = `HTTP/1.1 ${clientErrorStatus(undefined)}\r\nconnection: close`;
    closeAfterLinger(socket, `${head}\r\n\r\n`);
  }

  private close(connection: Connection, reason: LimitReason): void {
    this.report(connection, reason);
    this.connections.remove(connection);
    connection.socket.destroy();
  }

  private report({socket}: Connection, reason: LimitReason): void {
    const {port, reporter} = this.options;
    reporter.report({port, reason, client: socket.remoteAddress});
  }
}

function clientOf({remoteAddress, remotePort}: Socket): string {
  return `${remoteAddress} ${remotePort}`;
}
