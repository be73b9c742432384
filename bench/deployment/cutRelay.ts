/**
 * A TCP relay that can fall silent, as a network partition does: connections
 * stay open and are still accepted, and nothing comes through. What was sent
 * meanwhile arrives late, once the relay is open again.
 */

import net, {AddressInfo, Socket} from 'node:net';
import {once} from 'node:events';

const HOST = '127.0.0.1';

/** Which way nothing comes through. */
export type CutDirection = 'both' | 'to server' | 'to client';

interface Pair {
  readonly client: Socket;
  readonly server: Socket;
}

/** Relays connections to one port until closed. */
export class CutRelay {
  private readonly pairs = new Set<Pair>();
  private direction: CutDirection | undefined;

  private constructor(
    private readonly listener: net.Server,
    private readonly toPort: number
  ) {
    listener.on('connection', client => this.connect(client));
  }

  static async start(toPort: number): Promise<CutRelay> {
    // Without this a client that ends its half would lose the rest.
    const listener = net.createServer({allowHalfOpen: true});
    const relay = new CutRelay(listener, toPort);
    await once(listener.listen(0, HOST), 'listening');
    return relay;
  }

  get port(): number {
    return (this.listener.address() as AddressInfo).port;
  }

  cut(direction: CutDirection = 'both'): void {
    this.direction = direction;
    for (const pair of this.pairs) this.applyTo(pair);
  }

  heal(): void {
    this.direction = undefined;
    for (const pair of this.pairs) this.applyTo(pair);
  }

  close(): void {
    this.listener.close();
    for (const {client, server} of this.pairs) {
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
    this.pairs.add(pair);
    forward(client, server);
    forward(server, client);
    client.on('close', () => this.pairs.delete(pair));
    this.applyTo(pair);
  }

  private applyTo({client, server}: Pair): void {
    setFlow(
      client,
      this.direction === undefined || this.direction === 'to client'
    );
    setFlow(
      server,
      this.direction === undefined || this.direction === 'to server'
    );
  }
}

function setFlow(source: Socket, flows: boolean): void {
  if (flows) source.resume();
  else source.pause();
}

/** A reset passes through; a refused connection looks like one cut at once. */
function forward(source: Socket, sink: Socket): void {
  source.on('data', (chunk: Buffer) => sink.write(chunk));
  source.on('end', () => sink.end());
  source.on('error', () => sink.destroy());
}
