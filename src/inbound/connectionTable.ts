/** The connections of one server, and which of them to close when there are too many. */

import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {MemoryHolding} from './memoryAccount';

/** What may be closed for a new connection, what is closed first at the top. */
const CLOSING_ORDER = ['headless', 'idle', 'unread'] as const;

/** Use that a connection is in; its client does not take the responses if `unread`. */
export type ConnectionUse = (typeof CLOSING_ORDER)[number] | 'busy';

/** A connection of a client. */
export class Connection {
  /** Responses that were begun or are due, in order. */
  readonly responses = new Set<ServerResponse>();
  /** Begin the requests that were read but have to wait. */
  readonly waiting: (() => void)[] = [];
  /** Goes on reading; undefined unless the reading is on hold. */
  resumeReading: (() => void) | undefined;
  private isHeadless = true;
  /** The response that closes the connection in a planned stop. */
  private lastResponse: ServerResponse | undefined;

  constructor(
    readonly socket: Socket,
    readonly holding: MemoryHolding
  ) {}

  get requestCount(): number {
    return this.responses.size + this.waiting.length;
  }

  get use(): ConnectionUse {
    if (this.waiting.length > 0) return 'busy';
    if (this.responses.size === 0) return this.isHeadless ? 'headless' : 'idle';
    const areWritten = [...this.responses].every(res => res.writableEnded);
    return areWritten ? 'unread' : 'busy';
  }

  /**
   * Closes the connection after this response, in place of the one before. False if that
   * one says already that it is the last: a request that came with it is not read.
   */
  closeAfter(res: ServerResponse): boolean {
    const {lastResponse} = this;
    if (lastResponse !== undefined) {
      if (lastResponse.headersSent) return false;
      lastResponse.shouldKeepAlive = true;
    }
    if (!res.shouldKeepAlive) return true;
    res.shouldKeepAlive = false;
    this.lastResponse = res;
    return true;
  }

  begin(res: ServerResponse): void {
    this.isHeadless = false;
    this.responses.add(res);
  }
}

/** The connections of a server. */
export class ConnectionTable {
  /** The longest unused first. */
  private readonly connections = new Set<Connection>();
  private readonly bySocket = new WeakMap<Socket, Connection>();

  constructor(private readonly maxConnections: number) {}

  get size(): number {
    return this.connections.size;
  }

  get isOverfull(): boolean {
    return this.connections.size > this.maxConnections;
  }

  /** The connection to close for `newest`, which is that one if all others are busy. */
  surplus(newest: Connection): Connection {
    const candidates = new Map<ConnectionUse, Connection>();
    for (const connection of this.connections) {
      const {use} = connection;
      if (connection === newest || candidates.has(use)) continue;
      candidates.set(use, connection);
      if (use === CLOSING_ORDER[0]) break;
    }
    const use = CLOSING_ORDER.find(each => candidates.has(each));
    return (use && candidates.get(use)) ?? newest;
  }

  add(connection: Connection): void {
    this.connections.add(connection);
    this.carry(connection, connection.socket);
  }

  /** Notes a socket that carries the requests of a connection. */
  carry(connection: Connection, socket: Socket): void {
    this.bySocket.set(socket, connection);
  }

  /** Undefined for a connection that was removed. */
  find(socket: Socket): Connection | undefined {
    const connection = this.bySocket.get(socket);
    return connection !== undefined && this.connections.has(connection)
      ? connection
      : undefined;
  }

  /** Makes it the last one used. */
  touch(connection: Connection): void {
    if (this.connections.delete(connection)) this.connections.add(connection);
  }

  remove(connection: Connection): void {
    this.connections.delete(connection);
  }
}
