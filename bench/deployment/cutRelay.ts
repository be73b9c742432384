/**
 * A TCP relay that simulates a network partition: while it is cut, connections
 * stay open and new ones are accepted, but no data passes. Data sent meanwhile
 * is delivered once the relay is healed.
 */

import net, {AddressInfo, Socket} from 'node:net';
import {once} from 'node:events';

const HOST = '127.0.0.1';

/** The direction in which no data passes. */
export type CutDirection = 'both' | 'to server' | 'to client';

interface RelayedConnection {
  readonly client: Socket;
  readonly server: Socket;
}

/** Relays connections to one port of this machine. */
export class CutRelay {
  private readonly connections = new Set<RelayedConnection>();
  private cutDirection: CutDirection | undefined;

  private constructor(
    private readonly listener: net.Server,
    private readonly toPort: number
  ) {
    listener.on('connection', client => this.connect(client));
  }

  static async start(toPort: number): Promise<CutRelay> {
    // Without this, a client that half-closes would lose the rest of the response.
    const listener = net.createServer({allowHalfOpen: true});
    const relay = new CutRelay(listener, toPort);
    await once(listener.listen(0, HOST), 'listening');
    return relay;
  }

  get port(): number {
    return (this.listener.address() as AddressInfo).port;
  }

  cut(direction: CutDirection = 'both'): void {
    this.cutDirection = direction;
    for (const pair of this.connections) this.applyCut(pair);
  }

  heal(): void {
    this.cutDirection = undefined;
    for (const pair of this.connections) this.applyCut(pair);
  }

  close(): void {
    this.listener.close();
    for (const {client, server} of this.connections) {
      client.destroy();
      server.destroy();
    }
  }

  private connect(client: Socket): void {
    const server = net.connect({
      host: HOST,
      port: this.toPort,
      allowHalfOpen: true,
    });
    const pair = {client, server};
    this.connections.add(pair);
    forward(client, server);
    forward(server, client);
    client.on('close', () => this.connections.delete(pair));
    this.applyCut(pair);
  }

  private applyCut({client, server}: RelayedConnection): void {
    setFlow(
      client,
      this.cutDirection === undefined || this.cutDirection === 'to client'
    );
    setFlow(
      server,
      this.cutDirection === undefined || this.cutDirection === 'to server'
    );
  }
}

function setFlow(source: Socket, isFlowing: boolean): void {
  if (isFlowing) source.resume();
  else source.pause();
}

/**
 * An error of one side destroys the other. A connection that the server refuses
 * therefore looks to the client as if it was accepted and closed at once.
 */
function forward(source: Socket, sink: Socket): void {
  source.on('data', (chunk: Buffer) => sink.write(chunk));
  source.on('end', () => sink.end());
  source.on('error', () => sink.destroy());
}
