/**
 * Relays a response that must not look complete when it is not. Up to a size it
 * is held back until it is complete, so that the call can be retried at another
 * target before the caller has received a byte. A larger one is streamed; when
 * it is lost, the caller's connection is destroyed.
 */

import type {Readable, Writable} from 'node:stream';
import {ByteBuffer} from '../../core/byteBuffer';
import type {CancelSignal} from '../../core/cancellation';
import {abortResponse} from '../../core/responseEnd';

/** The response of one target. */
export interface ResponseSource {
  readonly body: Readable;
  /** Whether the whole body arrived, as far as its framing and its events tell. */
  complete(): boolean;
  cancel(): void;
}

/** Options of one relay. */
export interface ResponseRelayOptions<S extends ResponseSource> {
  readonly source: S;
  readonly caller: Writable;
  /** Maximum number of body bytes to hold back. */
  readonly maxHeldBytes: number;
  readonly signal: CancelSignal;
  /** Writes status and headers; called once, before any byte of the body. */
  writeHead(source: S): void;
  /** Adds trailers and ends the response; its whole body has been written. */
  writeEnd(source: S): void;
  /** Makes another attempt; for idempotent calls. Rejects when none is left. */
  retry?(detail: string): Promise<S>;
}

/** How a relay ended. */
export type ResponseRelayEnd<S> =
  | {readonly kind: 'done'; readonly source: S}
  | {readonly kind: 'caller gone'}
  /** Nothing was written; the caller must get a refusal, outcome unknown. */
  | {readonly kind: 'lost'; readonly detail: string; readonly err?: unknown}
  /** The head had been written; the connection was destroyed. */
  | {readonly kind: 'cut'; readonly detail: string};

/** Resolves when the response is written, lost or cut. */
export async function relayResponse<S extends ResponseSource>(
  relay: ResponseRelayOptions<S>
): Promise<ResponseRelayEnd<S>> {
  let source = relay.source;
  for (;;) {
    const end = await relayFrom(relay, source);
    if (end.kind !== 'done') source.cancel();
    if (end.kind !== 'lost' || relay.retry === undefined) return end;
    if (relay.signal.aborted) return end;
    try {
      source = await relay.retry(end.detail);
    } catch (err) {
      return {kind: 'lost', detail: end.detail, err};
    }
    if (!relay.caller.destroyed) continue;
    source.cancel();
    return {kind: 'caller gone'};
  }
}

async function relayFrom<S extends ResponseSource>(
  relay: ResponseRelayOptions<S>,
  source: S
): Promise<ResponseRelayEnd<S>> {
  const {caller, signal} = relay;
  const heldResponse = new HeldResponse(relay, source);
  const destroySource = () => source.body.destroy();
  caller.once('close', destroySource);
  signal.addEventListener('abort', destroySource, {once: true});
  if (caller.destroyed || signal.aborted) destroySource();
  try {
    await pipeBody(source.body, caller, chunk => heldResponse.pass(chunk));
    if (!source.complete()) throw new Error('the answer was cut short');
    heldResponse.release();
    relay.writeEnd(source);
    return {kind: 'done', source};
  } catch (err) {
    const detail = err instanceof Error ? err.message : String(err);
    if (caller.destroyed) return {kind: 'caller gone'};
    if (!heldResponse.released) return {kind: 'lost', detail};
    abortResponse(caller);
    return {kind: 'cut', detail};
  } finally {
    caller.off('close', destroySource);
    signal.removeEventListener('abort', destroySource);
  }
}

/** Holds back the head and first bytes of a response, up to `maxHeldBytes`. */
class HeldResponse<S extends ResponseSource> {
  private held = new ByteBuffer();
  private size = 0;
  released = false;

  constructor(
    private readonly relay: ResponseRelayOptions<S>,
    private readonly source: S
  ) {}

  /** Holds or writes a chunk; false when the caller must drain first. */
  pass(chunk: Buffer): boolean {
    this.size += chunk.length;
    if (!this.released && this.size <= this.relay.maxHeldBytes) {
      this.held.append(chunk);
      return true;
    }
    this.release();
    return this.relay.caller.write(chunk);
  }

  release(): void {
    if (this.released) return;
    this.released = true;
    this.relay.writeHead(this.source);
    if (this.held.length > 0) this.relay.caller.write(this.held.bytes());
    this.held = new ByteBuffer();
  }
}

/**
 * Resolves at the end of the body; rejects when it is cut off. Uses events,
 * since an async iterator costs several promises per chunk.
 */
function pipeBody(
  body: Readable,
  caller: Writable,
  pass: (chunk: Buffer) => boolean
): Promise<void> {
  const resume = () => body.resume();
  return new Promise<void>((resolve, reject) => {
    body.on('data', (chunk: Buffer) => {
      try {
        if (!pass(chunk)) body.pause();
      } catch (err) {
        reject(err);
      }
    });
    body.once('end', resolve);
    body.once('error', reject);
    body.once('close', () => {
      // Every body emits 'close'; an error is created only if needed, as its
      // stack trace costs time.
      if (!body.readableEnded) reject(new Error('the answer broke off'));
    });
    if (body.destroyed) reject(new Error('the answer broke off'));
    caller.on('drain', resume);
  }).finally(() => caller.off('drain', resume));
}
