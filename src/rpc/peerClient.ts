/** JSON-RPC client for calls to a peer process. */

import type {IncomingMessage} from 'node:http';
import https from 'node:https';
import {JSONRPCClient, JSONRPCErrorException} from 'json-rpc-2.0';
import {PeerError, PeerFault} from '../core/errors';
import {readText} from '../core/readBody';
import {receiveResponse} from '../core/receiveResponse';
import {PROTOCOL_VERSION} from '../core/protocolVersion';
import {MAX_MESSAGE_BYTES, PROTOCOL_HEADER, RPC_PATH} from './peerServer';
import type {PeerTraffic} from './peerTraffic';
import {clientTls} from './peerTls';

/** Id and network address of a peer. */
export interface PeerAddress {
  readonly id: string;
  readonly host: string;
  readonly port: number;
}

/** Limit of idle sockets that are kept open to one peer. */
const MAX_IDLE_SOCKETS = 64;

/**
 * Pools sockets by host and port alone, since all connections of one HTTPS
 * agent share their TLS options. The default name of a pool lists every option
 * and is built anew for each request.
 */
class PeerHttpsAgent extends https.Agent {
  override getName({host, port}: https.RequestOptions): string {
    return `${host}:${port}`;
  }
}

/**
 * Creates a keep-alive HTTPS agent that authenticates as `identity` with
 * `secret`.
 */
export function createPeerHttpsAgent(
  secret: string,
  identity: string
): https.Agent {
  const tls = clientTls(secret, identity);
  return new PeerHttpsAgent({
    ...tls,
    keepAlive: true,
    maxFreeSockets: MAX_IDLE_SOCKETS,
  });
}

/** Creates clients that share one connection pool. */
export type PeerClientFactory = (address: PeerAddress) => PeerClient;

/** Calls JSON-RPC methods of one peer. */
export class PeerClient {
  private nextId = 1;

  constructor(
    readonly address: PeerAddress,
    private readonly agent: https.Agent,
    private readonly traffic?: PeerTraffic
  ) {}

  /** Resolves with the result of the method; rejects with a PeerError. */
  async call<R>(
    method: string,
    params: unknown,
    timeoutMs: number
  ): Promise<R> {
    // The library converts a failed send into an error reply with code 0. A
    // call whose reply was lost would then look rejected by the peer, and be
    // retried or reported as "not run" although it may have run.
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
      // Redundant, since HTTP/1.1 connections are persistent by default.
      req.removeHeader('connection');
      const timer = setTimeout(() => {
        fail({kind: 'timeout'}, `no answer in ${timeoutMs} ms`);
        req.destroy();
      }, timeoutMs);
      req.on('socket', socket => {
        this.traffic?.trackSocket(socket);
        this.traffic?.addRecordOverhead('written', body.length);
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
      const onResponse = (res: IncomingMessage) => {
        readText(res, {maxBytes: MAX_MESSAGE_BYTES}).then(
          text => {
            this.traffic?.addRecordOverhead('read', text.length);
            const rejection = rejectionOf(res);
            if (rejection === undefined) resolve(text);
            else fail(rejection.fault, rejection.detail);
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

/** Why a response holds no reply; undefined if it does. */
function rejectionOf(
  res: IncomingMessage
): {readonly fault: PeerFault; readonly detail: string} | undefined {
  switch (res.statusCode) {
    case 200:
      return undefined;
    case 426: {
      const theirs = String(res.headers[PROTOCOL_HEADER]);
      const detail = `peer speaks version ${theirs}`;
      return {fault: {kind: 'version', theirs}, detail};
    }
    default: {
      const code = res.statusCode ?? 0;
      return {fault: {kind: 'rejected', code}, detail: 'unexpected status'};
    }
  }
}
