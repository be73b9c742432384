/** Tells whether a process listens at the address of a target. */

import net from 'node:net';
import {parseHostPort} from '../core/hostPort';

/** What the address of a target shows of its process. */
export type TargetStatus =
  | 'listening'
  /** The machine runs, and no process listens. */
  | 'notListening'
  /** The machine did not respond in time. */
  | 'unknown';

/** Exceeds any latency between zones; a caller waits for the result. */
const CONNECT_TIMEOUT_MS = 100;

/** Connects to HOST:PORT and closes the connection at once; never rejects. */
export function probeTarget(address: string): Promise<TargetStatus> {
  const hostPort = parseHostPort(address);
  if (hostPort === undefined) return Promise.resolve('unknown');
  return new Promise(resolve => {
    const socket = net.connect(hostPort);
    const settle = (status: TargetStatus) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(status);
    };
    const timer = setTimeout(() => settle('unknown'), CONNECT_TIMEOUT_MS);
    socket.once('connect', () => settle('listening'));
    socket.once('error', (err: NodeJS.ErrnoException) =>
      settle(err.code === 'ECONNREFUSED' ? 'notListening' : 'unknown')
    );
  });
}
