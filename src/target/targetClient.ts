/**
 * JSON over HTTP to one target; errors tell whether a request may have been
 * sent.
 */

import http from 'node:http';
import {framingOf} from '../core/bodyFraming';
import {PeerError} from '../core/errors';
import {readText} from '../core/readBody';
import type {PeerFault} from '../core/errors';
import {receiveResponse} from '../core/receiveResponse';

const MAX_RESPONSE_BYTES = 4 << 20;
const STEP = 'target';

/** A complete response of the target. */
export interface TargetResponse {
  readonly status: number;
  /** The parsed JSON, or undefined when the body is not JSON. */
  readonly body: unknown;
}

/**
 * Calls from the agent itself to its target; relayed requests do not pass here.
 */
export class TargetClient {
  readonly peer: string;
  private readonly agent = new http.Agent({keepAlive: true, maxSockets: 4});

  constructor(
    private readonly host: string,
    private readonly port: number
  ) {
    this.peer = `${host}:${port}`;
  }

  /**
   * Retries once on a fresh connection if a reused one fails. The target may
   * close an idle connection just as it is reused; without the retry, that
   * would look like an unreachable target and restart its ramp. A GET is
   * idempotent.
   */
  async get(path: string, signal: AbortSignal): Promise<TargetResponse> {
    const first = this.send('GET', path, undefined, signal, this.agent);
    const response = await first.done.catch((err: unknown) => {
      if (signal.aborted || !first.req.reusedSocket) throw err;
      return undefined;
    });
    if (response !== undefined) return response;
    return this.send('GET', path, undefined, signal, false).done;
  }

  post(
    path: string,
    body: unknown,
    signal: AbortSignal
  ): Promise<TargetResponse> {
    // A fresh connection, since an order sent on an idle connection that closes
    // would have an unknown outcome.
    return this.send('POST', path, JSON.stringify(body), signal, false).done;
  }

  /** Creates the error for a response that cannot be used. */
  rejected(status: number, detail: string): PeerError {
    return new PeerError(
      {kind: 'rejected', code: status},
      STEP,
      this.peer,
      detail
    );
  }

  close(): void {
    this.agent.destroy();
  }

  private send(
    method: string,
    path: string,
    body: string | undefined,
    signal: AbortSignal,
    agent: http.Agent | false
  ) {
    const headers =
      body === undefined ? {} : {'content-type': 'application/json'};
    const req = http.request({
      host: this.host,
      port: this.port,
      method,
      path,
      headers,
      agent,
      signal,
    });
    const done = this.readResponse(req, signal);
    req.end(body);
    return {req, done};
  }

  private readResponse(
    req: http.ClientRequest,
    signal: AbortSignal
  ): Promise<TargetResponse> {
    let connected = false;
    req.on('socket', socket => {
      connected = !socket.connecting;
      if (!connected) socket.once('connect', () => (connected = true));
    });
    return new Promise((resolve, reject) => {
      const fail = (err: NodeJS.ErrnoException) => {
        const fault = faultOf(err, connected, signal.aborted);
        reject(new PeerError(fault, STEP, this.peer, err.message));
        // The target may go on sending.
        req.destroy();
      };
      req.on('error', fail);
      const onResponse = (res: http.IncomingMessage) => {
        readText(res, {maxBytes: MAX_RESPONSE_BYTES}).then(text => {
          const body = parseJson(text);
          if (body === undefined && mayBeCutJson(res))
            fail(new Error('the JSON of the response is incomplete'));
          else resolve({status: res.statusCode ?? 0, body});
        }, fail);
      };
      receiveResponse(req, {
        onResponse,
        onMalformed: reason => fail(new Error(reason)),
      });
    });
  }
}

function faultOf(
  err: NodeJS.ErrnoException,
  connected: boolean,
  aborted: boolean
): PeerFault {
  if (!connected && !aborted)
    return {kind: 'unreachable', refusedByHost: err.code === 'ECONNREFUSED'};
  return aborted ? {kind: 'timeout'} : {kind: 'lost'};
}

/** Whether a body that does not parse may be truncated JSON. */
function mayBeCutJson(res: http.IncomingMessage): boolean {
  const isJson = res.headers['content-type']?.includes('json') === true;
  return isJson && framingOf(res) === 'close';
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
