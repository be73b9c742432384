/** Calls to one peer process over JSON-RPC. */

import https from 'node:https';
import {JSONRPCClient, JSONRPCErrorException} from 'json-rpc-2.0';
import {PeerError, PeerFault} from '../core/errors';
import {PROTOCOL_VERSION} from '../core/protocolVersion';
import {PROTOCOL_HEADER, RPC_PATH} from './peerServer';
import type {PeerTraffic} from './peerTraffic';
import {clientTls} from './peerTls';

/** Where a peer is and how it is spoken to. */
export interface PeerAddress {
  readonly id: string;
  readonly host: string;
  readonly port: number;
}

/** Sockets to one peer are kept open, up to this many. */
const MAX_SOCKETS = 64;

/**
 * All connections of one agent share their TLS options, so the address alone
 * tells them apart. Node's own name lists every option, anew for each request.
 */
class PeerAgent extends https.Agent {
  override getName({host, port}: https.RequestOptions): string {
    return `${host}:${port}`;
  }
}

/** A keep-alive HTTPS agent that proves `secret` under the name `identity`. */
export function createPeerAgent(secret: string, identity: string): https.Agent {
  const tls = clientTls(secret, identity);
  return new PeerAgent({
    ...tls,
    keepAlive: true,
    maxFreeSockets: MAX_SOCKETS,
  });
}

/** Makes clients that share their connections. */
export type PeerClientFactory = (address: PeerAddress) => PeerClient;

/** A JSON-RPC client of one peer. */
export class PeerClient {
  private nextId = 1;

  constructor(
    readonly address: PeerAddress,
    private readonly agent: https.Agent,
    private readonly traffic?: PeerTraffic
  ) {}

  /** Resolves with the result; rejects with PeerError. */
  async call<R>(
    method: string,
    params: unknown,
    timeoutMs: number
  ): Promise<R> {
    // The library turns a failed send into an error answer of code 0. Taken
    // as such, a call whose answer was lost would look refused by the peer,
    // and be repeated or reported "not run" although it may have run.
    let sendFailure: unknown;
    const client = new JSONRPCClient(
      async request => {
        try {
          const body = JSON.stringify(request);
          client.receive(JSON.parse(await this.post(body, method, timeoutMs)));
        } catch (err) {
          sendFailure = err;
          throw err;
        }
      },
      () => this.nextId++
    );
    try {
      return (await client.request(method, params)) as R;
    } catch (err) {
      throw this.toPeerError(sendFailure ?? err, method);
    }
  }

  private post(body: string, step: string, timeoutMs: number): Promise<string> {
    const {id, host, port} = this.address;
    return new Promise((resolve, reject) => {
      let connected = false;
      const fail = (fault: PeerFault, detail: string) =>
        reject(new PeerError(fault, step, id, detail));
      const req = https.request({
        host,
        port,
        agent: this.agent,
        path: RPC_PATH,
        method: 'POST',
        headers: {
          [PROTOCOL_HEADER]: PROTOCOL_VERSION,
          'content-length': Buffer.byteLength(body),
        },
      });
      // HTTP/1.1 keeps a connection open unless told otherwise.
      req.removeHeader('connection');
      const timer = setTimeout(() => {
        fail({kind: 'timeout'}, `no answer in ${timeoutMs} ms`);
        req.destroy();
      }, timeoutMs);
      req.on('socket', socket => {
        this.traffic?.track(socket);
        this.traffic?.message('written', body.length);
        connected = !socket.connecting;
        if (!connected) socket.once('secureConnect', () => (connected = true));
      });
      req.on('close', () => clearTimeout(timer));
      req.on('error', (err: NodeJS.ErrnoException) => {
        const refusedByHost = err.code === 'ECONNREFUSED';
        fail(
          connected ? {kind: 'lost'} : {kind: 'unreachable', refusedByHost},
          err.message
        );
      });
      req.on('response', res => {
        const chunks: Buffer[] = [];
        res.on('data', (chunk: Buffer) => chunks.push(chunk));
        res.on('error', err => fail({kind: 'lost'}, err.message));
        res.on('end', () => {
          const text = Buffer.concat(chunks).toString('utf8');
          this.traffic?.message('read', text.length);
          if (res.statusCode === 200) return resolve(text);
          if (res.statusCode === 426) {
            const theirs = String(res.headers[PROTOCOL_HEADER]);
            return fail(
              {kind: 'version', theirs},
              `peer speaks version ${theirs}`
            );
          }
          return fail(
            {kind: 'rejected', code: res.statusCode ?? 0},
            'unexpected status'
          );
        });
      });
      req.end(body);
    });
  }

  private toPeerError(err: unknown, step: string): Error {
    if (err instanceof PeerError) return err;
    const {id} = this.address;
    if (err instanceof JSONRPCErrorException) {
      return new PeerError(
        {kind: 'rejected', code: err.code, data: err.data},
        step,
        id,
        err.message
      );
    }
    return new PeerError({kind: 'lost'}, step, id, String(err));
  }
}
