/** JSON-RPC calls to other nodes over persistent HTTP connections. */

import http from 'node:http';
import {JSONRPCClient, JSONRPCErrorException} from 'json-rpc-2.0';
import type {JSONRPCResponse} from 'json-rpc-2.0';
import type {PeerFault} from '../core/errors';
import {PeerError} from '../core/errors';
import {readText} from '../core/readBody';
import {receiveResponse} from '../core/receiveResponse';

/**
 * Idle connections close after this. Longer than the interval between two
 * reports, so that they share one connection.
 */
const IDLE_TIMEOUT_MS = 5_000;
/** Concurrent calls to one node; the log alone may have a few in flight. */
const MAX_SOCKETS_PER_NODE = 8;
const HTTP_OK = 200;
/** Records of all targets, and snapshots of the log in parts, are far smaller. */
const MAX_REPLY_BYTES = 64 << 20;

/** Calls methods of other nodes by their IP address. */
export class RpcClient {
  private readonly agent = new http.Agent({
    keepAlive: true,
    maxSockets: MAX_SOCKETS_PER_NODE,
    timeout: IDLE_TIMEOUT_MS,
  });

  /** All nodes of a deployment listen on the same port. */
  constructor(private readonly port: number) {}

  /** Rejects with PeerError. The caller validates the result. */
  async call(
    ip: string,
    method: string,
    params: unknown,
    timeoutMs: number
  ): Promise<unknown> {
    // The library turns a failed send into an error reply of code 0, as if the
    // peer had rejected the call.
    let sendFailure: unknown;
    const client: JSONRPCClient = new JSONRPCClient(async request => {
      try {
        const body = JSON.stringify(request);
        const text = await this.post(ip, method, body, timeoutMs);
        client.receive(JSON.parse(text) as JSONRPCResponse);
      } catch (err) {
        sendFailure = err;
        throw err;
      }
    });
    try {
      return (await client.request(method, params)) as unknown;
    } catch (err) {
      throw toPeerError(sendFailure ?? err, method, ip);
    }
  }

  close(): void {
    this.agent.destroy();
  }

  /**
   * One timeout covers the whole call. A connection may hang without a reset, so
   * a timeout also closes it, and the next call gets another.
   */
  private post(
    ip: string,
    method: string,
    body: string,
    timeoutMs: number
  ): Promise<string> {
    return new Promise((resolve, reject) => {
      const {agent, port} = this;
      let isConnected = false;
      const headers = {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
      };
      const options = {host: ip, port, method: 'POST', agent, headers};
      const req = http.request(options);
      const onResponse = (res: http.IncomingMessage) => {
        readText(res, {maxBytes: MAX_REPLY_BYTES}).then(
          text => {
            clearTimeout(timer);
            const {statusCode = 0} = res;
            if (statusCode === HTTP_OK) return resolve(text);
            fail({kind: 'rejected', code: statusCode}, `status ${statusCode}`);
          },
          (err: unknown) => {
            fail({kind: 'lost'}, String(err));
            req.destroy();
          }
        );
      };
      receiveResponse(req, {
        onResponse,
        onMalformed: reason => fail({kind: 'lost'}, reason),
      });
      const timer = setTimeout(() => {
        fail({kind: 'timeout'}, `no response within ${timeoutMs} ms`);
        req.destroy();
      }, timeoutMs);
      function fail(fault: PeerFault, detail: string): void {
        clearTimeout(timer);
        reject(new PeerError(fault, method, ip, detail));
      }
      req.on('socket', socket => {
        isConnected = !socket.connecting;
        if (!isConnected) socket.once('connect', () => (isConnected = true));
      });
      req.on('error', (err: NodeJS.ErrnoException) => {
        const refusedByHost = err.code === 'ECONNREFUSED';
        fail(
          isConnected ? {kind: 'lost'} : {kind: 'unreachable', refusedByHost},
          err.message
        );
      });
      req.end(body);
    });
  }
}

function toPeerError(err: unknown, method: string, ip: string): PeerError {
  if (err instanceof PeerError) return err;
  if (!(err instanceof JSONRPCErrorException))
    return new PeerError({kind: 'lost'}, method, ip, String(err));
  const {code, data, message} = err;
  return new PeerError({kind: 'rejected', code, data}, method, ip, message);
}
