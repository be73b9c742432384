/** Bytes that a process exchanges with its peers over JSON-RPC, as on the wire. */

import type {Socket} from 'node:net';
import {Subscription, interval} from 'rxjs';
import type {Metrics} from '../core/metrics';

/** Head and tag of one TLS record with ChaCha20-Poly1305. */
const RECORD_OVERHEAD_BYTES = 21;
const RECORD_MAX_BYTES = 16_384;
const REPORT_PERIOD_MS = 1_000;

type Direction = 'read' | 'written';

/** Counts by socket; a socket that closes leaves its sum behind. */
export class PeerTraffic {
  private readonly sums: Record<Direction, number> = {read: 0, written: 0};
  private readonly reported: Record<Direction, number> = {read: 0, written: 0};
  private readonly open = new Set<Socket>();

  /** Counts all that passes through the socket; tracking twice is harmless. */
  track(socket: Socket): void {
    if (this.open.has(socket)) return;
    this.open.add(socket);
    socket.once('close', () => {
      this.open.delete(socket);
      this.sums.read += socket.bytesRead;
      this.sums.written += socket.bytesWritten;
    });
  }

  /** A TLS socket counts clear text only: adds the records of one message. */
  message(direction: Direction, bytes: number): void {
    const records = Math.max(1, Math.ceil(bytes / RECORD_MAX_BYTES));
    this.sums[direction] += records * RECORD_OVERHEAD_BYTES;
  }

  /** Bytes since the start. */
  total(direction: Direction): number {
    let sum = this.sums[direction];
    for (const socket of this.open)
      sum += direction === 'read' ? socket.bytesRead : socket.bytesWritten;
    return sum;
  }

  /** Adds to the counter `peer.bytes` once a second. */
  report(metrics: Metrics): Subscription {
    return interval(REPORT_PERIOD_MS).subscribe(() => {
      for (const direction of ['read', 'written'] as const) {
        const total = this.total(direction);
        const grown = total - this.reported[direction];
        this.reported[direction] = total;
        metrics.count('peer.bytes', {direction}, grown);
      }
    });
  }
}
