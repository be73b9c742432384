/** Receives counters that processes send in the StatsD protocol. */

import dgram from 'node:dgram';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';

const COUNTER = /^marlpulley\.([\w.]+):(\d+)\|c\|#(.*)$/;

/** Sums of one counter by process. */
export class CounterSink {
  private readonly sums = new Map<string, number>();

  private constructor(
    private readonly socket: dgram.Socket,
    private readonly counter: string
  ) {
    socket.on('message', text => this.receive(text.toString()));
  }

  /** Listens on a port that the kernel chooses. */
  static async start(counter: string): Promise<CounterSink> {
    const socket = dgram.createSocket('udp4');
    socket.bind(0, '127.0.0.1');
    await once(socket, 'listening');
    return new CounterSink(socket, counter);
  }

  get port(): number {
    return (this.socket.address() as AddressInfo).port;
  }

  /** Sum over all tags, by process id. */
  snapshot(): ReadonlyMap<string, number> {
    return new Map(this.sums);
  }

  close(): void {
    this.socket.close();
  }

  private receive(text: string): void {
    for (const line of text.split('\n')) {
      const [, name, value, tags = ''] = COUNTER.exec(line) ?? [];
      if (name !== this.counter) continue;
      const process = /(?:^|,)process:([^,]+)/.exec(tags)?.[1] ?? '';
      this.sums.set(process, (this.sums.get(process) ?? 0) + Number(value));
    }
  }
}
