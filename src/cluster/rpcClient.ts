/** JSON-RPC calls to other nodes over persistent HTTP connections. */

import http from 'node:http';
import {JSONRPCClient} from 'json-rpc-2.0';
import type {JSONRPCResponse} from 'json-rpc-2.0';
import {PeerError} from '../core/errors';

/**
 * Idle connections close after this. Longer than the interval between two
 * reports, so that they share one connection.
 */
const IDLE_TIMEOUT_MS = 5_000;
/** Concurrent calls to one node; the log alone may have a few in flight. */
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

  /** Rejects with PeerError. The caller validates the result. */
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
   * One timeout covers the whole call. A connection may hang without a reset, so
   * a timeout also closes it, and the next call gets another.
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
          else
            fail(
              new Error(`status ${res.statusCode}, complete: ${res.complete}`)
            );
        });
      });
      const timer = setTimeout(() => {
        fail(new Error(`no response within ${timeoutMs} ms`), true);
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
