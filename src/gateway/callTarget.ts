/**
 * One send to one target, on a connection of its own.
 *
 * A kept connection may be closed by the target as a request is written on it,
 * and then nobody knows whether it ran; a late second answer on it would pass
 * for the next request's. A new connection costs a millisecond and rules out
 * both. Bytes go out only once it stands, so that a send that never connected
 * has surely not run.
 */

import http from 'node:http';
import type {CancelSignal} from '../core/cancellation';

/**
 * A machine without power does not answer at all. Ten times the longest way
 * between zones, and short enough to try another in time.
 */
const CONNECT_TIMEOUT_MS = 200;

/** What to send. */
export interface TargetCall {
  /** HOST:PORT */
  readonly address: string;
  readonly method: string;
  readonly url: string;
  /** Raw list. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly cancel: CancelSignal;
  /** Longest wait for the head of the answer, milliseconds. */
  readonly headTimeoutMs: number;
}

/** How it went, up to the head of the answer. */
export type TargetOutcome =
  | {readonly kind: 'answered'; readonly res: http.IncomingMessage}
  /** No connection came about: nothing was sent. */
  | {readonly kind: 'unsent'; readonly reason: string}
  /** It was sent, and may have run. */
  | {readonly kind: 'lost'; readonly reason: string}
  /** The caller's side gave up after it was sent. */
  | {readonly kind: 'cancelled'};

/** Sends; never rejects. Destroying `res` ends the connection. */
export function callTarget(call: TargetCall): Promise<TargetOutcome> {
  return new Promise(resolve => {
    const [host, port] = call.address.split(':');
    const req = http.request({
      host,
      port: Number(port),
      method: call.method,
      path: call.url,
      headers: [...call.headers] as unknown as http.OutgoingHttpHeaders,
      agent: false,
      setHost: false,
    });
    let connected = false;
    let settled = false;
    const timers: NodeJS.Timeout[] = [];
    const settle = (outcome: TargetOutcome) => {
      if (settled) return;
      settled = true;
      for (const timer of timers) clearTimeout(timer);
      if (outcome.kind !== 'answered') {
        call.cancel.removeEventListener('abort', onCancel);
        req.destroy();
      }
      resolve(outcome);
    };
    const fail = (reason: string) =>
      settle({kind: connected ? 'lost' : 'unsent', reason});
    const onCancel = () => {
      if (connected) settle({kind: 'cancelled'});
      else fail('cancelled');
      req.destroy();
    };
    const later = (ms: number, run: () => void) =>
      timers.push(setTimeout(run, ms));
    later(CONNECT_TIMEOUT_MS, () => {
      if (!connected) fail('no connection in time');
    });
    later(call.headTimeoutMs, () => fail('no answer in time'));
    req.on('socket', socket =>
      socket.once('connect', () => {
        connected = true;
        socket.setNoDelay(true);
      })
    );
    req.on('error', err => fail(err.message));
    req.on('close', () => fail('the connection ended'));
    req.on('response', res => {
      res.once('close', () =>
        call.cancel.removeEventListener('abort', onCancel)
      );
      settle({kind: 'answered', res});
    });
    if (call.cancel.aborted) {
      onCancel();
      return;
    }
    call.cancel.addEventListener('abort', onCancel, {once: true});
    req.end(call.body);
  });
}
