/** Counts the bytes that a process exchanges with its peers on the wire. */

import type {Socket} from 'node:net';
import {Subscription, interval} from 'rxjs';
import type {Metrics} from '../core/metrics';

/** Header and authentication tag of a TLS record with ChaCha20-Poly1305. */
const RECORD_OVERHEAD_BYTES = 21;
const MAX_RECORD_BYTES = 16_384;
const REPORT_PERIOD_MS = 1_000;

type Direction = 'read' | 'written';

/** Sums up the byte counters of all open and closed sockets, by direction. */
export class PeerTraffic {
  /** Bytes of closed sockets, and the TLS record overhead of all messages. */
  private readonly baseTotals: Record<Direction, number> = {
    read: 0,
    written: 0,
  };
  /** Totals at the last update of the metric. */
  private readonly reportedTotals: Record<Direction, number> = {
    read: 0,
    written: 0,
  };
  private readonly open = new Set<Socket>();

  /** Starts counting a socket; further calls for it have no effect. */
  trackSocket(socket: Socket): void {
    if (this.open.has(socket)) return;
    this.open.add(socket);
    socket.once('close', () => {
      this.open.delete(socket);
      this.baseTotals.read += socket.bytesRead;
      this.baseTotals.written += socket.bytesWritten;
    });
  }

  /**
   * Adds the TLS record overhead of a message, since the counters of a TLS
   * socket hold plain text only.
   */
  addRecordOverhead(direction: Direction, bytes: number): void {
    const records = Math.max(1, Math.ceil(bytes / MAX_RECORD_BYTES));
    this.baseTotals[direction] += records * RECORD_OVERHEAD_BYTES;
  }

  /** Bytes since the process started. */
  total(direction: Direction): number {
    let sum = this.baseTotals[direction];
    for (const socket of this.open)
      sum += direction === 'read' ? socket.bytesRead : socket.bytesWritten;
    return sum;
  }

  /** Adds the new bytes to the metric `peer.bytes` once a second. */
  report(metrics: Metrics): Subscription {
    return interval(REPORT_PERIOD_MS).subscribe(() => {
      for (const direction of ['read', 'written'] as const) {
        const total = this.total(direction);
        const increase = total - this.reportedTotals[direction];
        this.reportedTotals[direction] = total;
        metrics.count('peer.bytes', {direction}, increase);
      }
    });
  }
}
