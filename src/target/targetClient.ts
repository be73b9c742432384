/** JSON over HTTP to one target, with errors that say what they prove. */

import http from 'node:http';
import {PeerError} from '../core/errors';
import type {PeerFault} from '../core/errors';

const MAX_ANSWER_BYTES = 4 << 20;
const STEP = 'target';

/** A whole answer of the target. */
export interface TargetAnswer {
  readonly status: number;
  /** The parsed JSON, or undefined when the body is no JSON. */
  readonly body: unknown;
}

/** Calls of an agent to its target, besides the requests it relays. */
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
   * A connection that idles may be closed by the target at the moment of
   * reuse, which looks like a lost target and would start a cold ramp. A GET
   * is idempotent, so it is sent once more over a fresh connection.
   */
  async get(path: string, signal: AbortSignal): Promise<TargetAnswer> {
    const first = this.send('GET', path, undefined, signal, this.agent);
    const answer = await first.done.catch((err: unknown) => {
      if (signal.aborted || !first.req.reusedSocket) throw err;
      return undefined;
    });
    if (answer !== undefined) return answer;
    return this.send('GET', path, undefined, signal, false).done;
  }

  post(
    path: string,
    body: unknown,
    signal: AbortSignal
  ): Promise<TargetAnswer> {
    // A fresh connection: an order that is lost to a closing idle connection
    // would have an unknown outcome for no reason.
    return this.send('POST', path, JSON.stringify(body), signal, false).done;
  }

  /** An error for an answer that cannot be used. */
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
    const done = this.collect(req, signal);
    req.end(body);
    return {req, done};
  }

  private collect(
    req: http.ClientRequest,
    signal: AbortSignal
  ): Promise<TargetAnswer> {
    let connected = false;
    req.on('socket', socket => {
      connected = !socket.connecting;
      if (!connected) socket.once('connect', () => (connected = true));
    });
    return new Promise((resolve, reject) => {
      const fail = (err: NodeJS.ErrnoException) => {
        const fault = faultOf(err, connected, signal.aborted);
        reject(new PeerError(fault, STEP, this.peer, err.message));
      };
      req.on('error', fail);
      req.on('response', res => {
        readWhole(res).then(
          text => resolve({status: res.statusCode ?? 0, body: parsed(text)}),
          fail
        );
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

async function readWhole(res: http.IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of res as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > MAX_ANSWER_BYTES) throw new Error('the answer is too large');
    chunks.push(chunk);
  }
  if (!res.complete) throw new Error('the answer was cut short');
  return Buffer.concat(chunks).toString('utf8');
}

function parsed(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
