/** JSON-RPC to other nodes over kept HTTP connections. */

import http from 'node:http';
import {JSONRPCClient} from 'json-rpc-2.0';
import type {JSONRPCResponse} from 'json-rpc-2.0';
import {PeerError} from '../core/errors';

/**
 * Idle connections end after this. Longer than the pause between two syncs, so
 * that those share one connection.
 */
const IDLE_TIMEOUT_MS = 5_000;
/** Calls to one node at a time; the log alone may have a few on their way. */
const MAX_SOCKETS_PER_NODE = 8;
const HTTP_OK = 200;

/** Calls methods of other nodes by their IP address. */
export class RpcClient {
  private readonly agent = new http.Agent({
    keepAlive: true,
    maxSockets: MAX_SOCKETS_PER_NODE,
    timeout: IDLE_TIMEOUT_MS,
  });

  /** All nodes of a deployment listen on the same port. */
  constructor(private readonly port: number) {}

  /** Rejects with PeerError. The answer is the caller's to validate. */
  async call(
    ip: string,
    method: string,
    params: unknown,
    timeoutMs: number
  ): Promise<unknown> {
    const client: JSONRPCClient = new JSONRPCClient(async request => {
      const text = await this.post(ip, JSON.stringify(request), timeoutMs);
      client.receive(JSON.parse(text) as JSONRPCResponse);
    });
    try {
      return (await client.request(method, params)) as unknown;
    } catch (err) {
      if (err instanceof PeerError) throw err;
      const detail = err instanceof Error ? err.message : String(err);
      throw new PeerError({kind: 'rejected', code: 0}, method, ip, detail);
    }
  }

  close(): void {
    this.agent.destroy();
  }

  /**
   * One deadline covers the whole call. A connection may fall silent without
   * a reset; it is given up with the call, so that the next one gets another.
   */
  private post(ip: string, body: string, timeoutMs: number): Promise<string> {
    return new Promise((resolve, reject) => {
      const {agent, port} = this;
      const headers = {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
      };
      const options = {host: ip, port, method: 'POST', agent, headers};
      const req = http.request(options, res => {
        const chunks: Buffer[] = [];
        res.on('data', (chunk: Buffer) => chunks.push(chunk));
        res.on('error', fail);
        res.on('end', () => {
          clearTimeout(timer);
          if (res.statusCode === HTTP_OK && res.complete)
            resolve(Buffer.concat(chunks).toString('utf8'));
          else fail(new Error(`status ${res.statusCode}`));
        });
      });
      const timer = setTimeout(() => {
        fail(new Error(`no answer within ${timeoutMs} ms`), true);
        req.destroy();
      }, timeoutMs);
      function fail(err: Error, isTimeout = false): void {
        clearTimeout(timer);
        const kind = isTimeout ? ('timeout' as const) : ('lost' as const);
        reject(new PeerError({kind}, 'rpc', ip, err.message));
      }
      req.on('error', fail);
      req.end(body);
    });
  }
}
