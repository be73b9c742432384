/**
 * HTTP requests to the next hop, with errors that tell whether the request may
 * have run. Bodies are streamed with back-pressure in both directions.
 */

import http from 'node:http';
import https from 'node:https';
import {TLSSocket} from 'node:tls';
import type {CancelSignal} from './cancellation';
import {forwardedFraming} from './bodyFraming';
import type {RequestFraming} from './bodyFraming';
import {hasOnlyTokenNames} from './fieldSyntax';
import {pipeBody} from './pipeBody';
import {endToEndHeaders, headerPairs, withFraming} from './httpHeaders';
import {receiveResponse} from './receiveResponse';

/** A request that failed before a sound head of its response arrived. */
export class UpstreamError extends Error {
  constructor(
    /**
     * Whether a byte of the request may have reached the peer. The request has
     * certainly not run only when this is false.
     */
    readonly sent: boolean,
    detail: string
  ) {
    super(detail);
    this.name = 'UpstreamError';
  }
}

/** Where and how to send a request. */
export interface UpstreamRequest {
  readonly secure: boolean;
  readonly host: string;
  readonly port: number;
  /** Keep-alive agent; `false` for a new connection. */
  readonly agent: http.Agent | false;
  readonly method: string;
  readonly path: string;
  /** Flat list of names and values, without the framing. */
  readonly headers: readonly string[];
  /** A buffered body, a stream to forward, or no body. */
  readonly body: Buffer | http.IncomingMessage | undefined;
  readonly signal: CancelSignal;
}

/** Resolves with the head of the response; rejects with UpstreamError. */
export function sendUpstream(
  request: UpstreamRequest
): Promise<http.IncomingMessage> {
  const {secure, host, port, agent, method, path, headers, signal} = request;
  const client = secure ? https : http;
  return new Promise((resolve, reject) => {
    let sent = false;
    let req: http.ClientRequest;
    try {
      req = client.request({
        host,
        port,
        agent,
        method,
        path,
        headers: withFraming(
          headers,
          framingOfBody(request.body)
        ) as unknown as http.OutgoingHttpHeaders,
        setHost: false,
      });
    } catch (err) {
      return reject(new UpstreamError(sent, String(err)));
    }
    destroyOnAbort(req, signal);
    req.on('socket', socket => {
      // A reused connection may send bytes at once, even if the peer closes it.
      sent = !socket.connecting;
      if (sent) return;
      const ready = socket instanceof TLSSocket ? 'secureConnect' : 'connect';
      socket.once(ready, () => (sent = true));
    });
    req.on('error', err => reject(new UpstreamError(sent, err.message)));
    receiveResponse(req, {
      onResponse: resolve,
      onMalformed: reason => reject(new UpstreamError(true, reason)),
    });
    sendBody(req, request.body);
  });
}

/** Like Node's `signal` option, at a fraction of its cost per call. */
function destroyOnAbort(req: http.ClientRequest, signal: CancelSignal): void {
  const destroy = () => {
    req.destroy(new Error('the call was cancelled'));
  };
  if (signal.aborted) return destroy();
  signal.addEventListener('abort', destroy, {once: true});
  req.once('close', () => signal.removeEventListener('abort', destroy));
}

function framingOfBody(body: UpstreamRequest['body']): RequestFraming {
  if (body === undefined) return {kind: 'length', bytes: 0};
  if (Buffer.isBuffer(body)) return {kind: 'length', bytes: body.length};
  return forwardedFraming(body);
}

function sendBody(
  req: http.ClientRequest,
  body: UpstreamRequest['body']
): void {
  if (body === undefined || Buffer.isBuffer(body)) {
    req.end(body);
    return;
  }
  pipeBody(body, req);
  body.on('end', () => {
    // The parsers of some runtimes accept such names, and the writer throws.
    if (!hasOnlyTokenNames(body.rawTrailers))
      return void req.destroy(new Error('invalid name of a trailer'));
    const trailers = trailersOf(body);
    if (trailers.length > 0) req.addTrailers(trailers);
    req.end();
  });
  // A body that the caller aborts must not look complete to the peer.
  body.on('error', err => req.destroy(err));
  body.on('close', () => {
    if (!body.readableEnded)
      req.destroy(new Error('the caller broke off the body'));
  });
}

/** How relaying the body of a response ended. */
export type BodyEnd = 'complete' | 'source cut' | 'sink closed';

/**
 * Relays the body and trailers of a response. Ends the sink only when the
 * source was complete; otherwise the calling function decides how to end it.
 */
export function relayBody(
  source: http.IncomingMessage,
  sink: http.ServerResponse,
  onChunk?: (chunk: Buffer) => void
): Promise<BodyEnd> {
  return new Promise(resolve => {
    if (onChunk !== undefined) source.on('data', onChunk);
    pipeBody(source, sink);
    source.on('end', () => {
      if (!source.complete) return resolve('source cut');
      const trailers = trailersOf(source);
      if (trailers.length > 0) sink.addTrailers(trailers);
      sink.end(() => resolve('complete'));
    });
    source.on('error', () => resolve('source cut'));
    source.on('close', () => {
      if (!source.readableEnded) resolve('source cut');
    });
    sink.on('close', () => resolve('sink closed'));
  });
}

/** Whether a request has a body. */
export function hasBody(req: http.IncomingMessage): boolean {
  const length = req.headers['content-length'];
  if (length !== undefined) return length !== '0';
  return req.headers['transfer-encoding'] !== undefined;
}

/** End-to-end trailers of a message that was read to its end. */
export function trailersOf({
  rawTrailers,
}: http.IncomingMessage): [string, string][] {
  return headerPairs(endToEndHeaders(rawTrailers)).map(([name, value]) => [
    name,
    value,
  ]);
}
