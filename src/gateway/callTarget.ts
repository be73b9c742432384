/**
 * Sends one request to one target on a new connection.
 *
 * Connections are not reused, for two reasons. A target may close an idle
 * connection while a request is being written to it, and then it is unknown
 * whether the request ran. A late duplicate response on a reused connection
 * would be taken for the response to the next request. A new connection costs
 * a millisecond. Nothing is written before it is established, so a request
 * whose connection failed cannot have run.
 */

import http from 'node:http';
import type {CancelSignal} from '../core/cancellation';
import type {ConnectionState} from '../core/connectionReset';
import {parseHostPort} from '../core/hostPort';
import {withFraming} from '../core/httpHeaders';
import {receiveResponse} from '../core/receiveResponse';

/**
 * A machine without power never responds to a connection attempt. Exceeds any latency
 * between zones, and leaves time to try another target.
 */
const CONNECT_TIMEOUT_MS = 200;

/** A request to one target. */
export interface TargetCall {
  /** HOST:PORT */
  readonly address: string;
  readonly method: string;
  readonly url: string;
  /** Flat list of names and values, as in `rawHeaders`, without the framing. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly cancelSignal: CancelSignal;
  /** Timeout for the response headers, connecting included, milliseconds. */
  readonly headTimeoutMs: number;
}

/** Result of a call up to the response headers. */
export type TargetOutcome =
  | {
      readonly kind: 'answered';
      readonly res: http.IncomingMessage;
      readonly connection: ConnectionState;
    }
  /** No connection was established, so nothing was sent. */
  | {readonly kind: 'unsent'; readonly reason: string}
  /** It was sent and may have run, but no sound response headers arrived. */
  | {readonly kind: 'lost'; readonly reason: string}
  /** `cancelSignal` fired after it was sent; it may have run. */
  | {readonly kind: 'cancelled'};

/** Sends the request; never rejects. Destroying `res` closes the connection. */
export function callTarget(call: TargetCall): Promise<TargetOutcome> {
  let req: http.ClientRequest;
  try {
    req = openRequest(call);
  } catch (err) {
    return Promise.resolve({kind: 'unsent', reason: String(err)});
  }
  return outcomeOf(req, call);
}

/** Throws for an address or a head that Node refuses. */
function openRequest(call: TargetCall): http.ClientRequest {
  const hostPort = parseHostPort(call.address);
  if (hostPort === undefined) throw new Error(`no address: ${call.address}`);
  return http.request({
    ...hostPort,
    method: call.method,
    path: call.url,
    headers: withFraming(call.headers, {
      kind: 'length',
      bytes: call.body.length,
    }) as unknown as http.OutgoingHttpHeaders,
    agent: false,
    setHost: false,
  });
}

function outcomeOf(
  req: http.ClientRequest,
  call: TargetCall
): Promise<TargetOutcome> {
  return new Promise(resolve => {
    let connected = false;
    let settled = false;
    const timers: NodeJS.Timeout[] = [];
    const settle = (outcome: TargetOutcome) => {
      if (settled) return;
      settled = true;
      for (const timer of timers) clearTimeout(timer);
      if (outcome.kind !== 'answered') {
        call.cancelSignal.removeEventListener('abort', onCancel);
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
    const addTimer = (ms: number, run: () => void) =>
      timers.push(setTimeout(run, ms));
    addTimer(CONNECT_TIMEOUT_MS, () => {
      if (!connected) fail('connect timeout');
    });
    addTimer(call.headTimeoutMs, () => fail('response header timeout'));
    req.on('socket', socket =>
      socket.once('connect', () => {
        connected = true;
        socket.setNoDelay(true);
      })
    );
    req.on('error', err => fail(err.message));
    req.on('close', () => fail('connection closed'));
    const connection = receiveResponse(req, {
      onResponse: res => {
        res.once('close', () =>
          call.cancelSignal.removeEventListener('abort', onCancel)
        );
        settle({kind: 'answered', res, connection});
      },
      onMalformed: fail,
    });
    if (call.cancelSignal.aborted) return onCancel();
    call.cancelSignal.addEventListener('abort', onCancel, {once: true});
    req.end(call.body);
  });
}
