/**
 * One HTTP exchange with the next process on the way, and what a failure of
 * it proves. Bodies pass through with back-pressure in both directions.
 */

import http from 'node:http';
import https from 'node:https';
import type {Readable, Writable} from 'node:stream';
import {TLSSocket} from 'node:tls';
import type {CancelSignal} from './cancellation';
import {endToEndHeaders, headerPairs} from './httpHeaders';

/** Fails before the answer's head has come. */
export class UpstreamError extends Error {
  constructor(
    /**
     * Whether a byte of the request may have reached the peer. Only when it
     * is false has the request certainly not run.
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
  /** Keep-alive agent; `false` for a connection of its own. */
  readonly agent: http.Agent | false;
  readonly method: string;
  readonly path: string;
  /** Flat list of names and values. */
  readonly headers: readonly string[];
  /** A body at hand, a stream to pass on, or nothing. */
  readonly body: Buffer | http.IncomingMessage | undefined;
  readonly signal: CancelSignal;
}

/** Resolves with the answer's head; rejects with UpstreamError. */
export function sendUpstream(
  request: UpstreamRequest
): Promise<http.IncomingMessage> {
  const {secure, host, port, agent, method, path, headers, signal} = request;
  const client = secure ? https : http;
  return new Promise((resolve, reject) => {
    let sent = false;
    const req = client.request({
      host,
      port,
      agent,
      method,
      path,
      headers: headers as unknown as http.OutgoingHttpHeaders,
      setHost: false,
    });
    destroyOnAbort(req, signal);
    req.on('socket', socket => {
      // A kept connection can take bytes at once, and may be closing meanwhile.
      sent = !socket.connecting;
      if (sent) return;
      const ready = socket instanceof TLSSocket ? 'secureConnect' : 'connect';
      socket.once(ready, () => (sent = true));
    });
    req.on('error', err => reject(new UpstreamError(sent, err.message)));
    req.on('response', resolve);
    sendBody(req, request.body);
  });
}

/** As the option `signal` of Node does, for a fraction of its time a call. */
function destroyOnAbort(req: http.ClientRequest, signal: CancelSignal): void {
  const destroy = () => {
    req.destroy(new Error('the call was cancelled'));
  };
  if (signal.aborted) return destroy();
  signal.addEventListener('abort', destroy, {once: true});
  req.once('close', () => signal.removeEventListener('abort', destroy));
}

function sendBody(
  req: http.ClientRequest,
  body: UpstreamRequest['body']
): void {
  if (body === undefined || Buffer.isBuffer(body)) {
    req.end(body);
    return;
  }
  body.on('end', () => {
    const trailers = trailersOf(body);
    if (trailers.length > 0) req.addTrailers(trailers);
    req.end();
  });
  // A caller that breaks off its body must not look like one that ended it.
  body.on('error', err => req.destroy(err));
  body.on('close', () => {
    if (!body.readableEnded)
      req.destroy(new Error('the caller broke off the body'));
  });
  body.pipe(req, {end: false});
}

/** How the body of an answer ended. */
export type BodyEnd = 'complete' | 'source cut' | 'sink closed';

/**
 * Passes on the body of an answer with its trailers and ends the sink only
 * when the source was complete; the caller of this decides about the rest.
 */
export function relayAnswer(
  source: http.IncomingMessage,
  sink: http.ServerResponse,
  onChunk?: (chunk: Buffer) => void
): Promise<BodyEnd> {
  return new Promise(resolve => {
    if (onChunk !== undefined) source.on('data', onChunk);
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
    source.pipe(sink, {end: false});
  });
}

/** Reads a body to its end; undefined when it exceeds the bound. */
export async function readBody(
  source: Readable,
  maxBytes: number
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of source as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > maxBytes) return undefined;
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

/** Whether a request carries a body at all. */
export function hasBody(req: http.IncomingMessage): boolean {
  const length = req.headers['content-length'];
  if (length !== undefined) return length !== '0';
  return req.headers['transfer-encoding'] !== undefined;
}

/** Ends a connection so that no reader can take what came for whole. */
export function cutOff(sink: Writable): void {
  sink.destroy();
}

/** Trailers of a message that was read to its end. */
export function trailersOf({
  rawTrailers,
}: http.IncomingMessage): [string, string][] {
  return headerPairs(endToEndHeaders(rawTrailers)).map(([name, value]) => [
    name,
    value,
  ]);
}
