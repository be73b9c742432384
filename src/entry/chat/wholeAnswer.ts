/**
 * Relays an answer that must arrive whole. Up to a bound it is held back, so
 * that the loss of a target can be mended before the caller has seen a byte;
 * a larger one passes through, and its loss destroys the connection.
 */

import type {Readable, Writable} from 'node:stream';
import type {CancelSignal} from '../../core/cancellation';

/** One target's answer. */
export interface WholeSource {
  readonly body: Readable;
  /** Whether all of the body came, as its length or last chunk tells. */
  complete(): boolean;
  cancel(): void;
}

/** All that one relay needs. */
export interface WholeRelay<S extends WholeSource> {
  readonly source: S;
  readonly caller: Writable;
  /** Bytes held back at most. */
  readonly holdBytes: number;
  readonly signal: CancelSignal;
  /** Writes status and headers; called once, before any byte of the body. */
  writeHead(source: S): void;
  /** Adds trailers and ends the caller's answer; its body is all written. */
  writeEnd(source: S): void;
  /** Another attempt, for idempotent calls only; rejects when none is left. */
  retry?(detail: string): Promise<S>;
}

/** How a relay ended. */
export type WholeEnd<S> =
  | {readonly kind: 'done'; readonly source: S}
  | {readonly kind: 'caller gone'}
  /** Nothing was written; the caller is owed a refusal, outcome unknown. */
  | {readonly kind: 'lost'; readonly detail: string; readonly err?: unknown}
  /** The head had gone out; the connection was destroyed. */
  | {readonly kind: 'cut'; readonly detail: string};

/** Resolves when the answer is written, lost or cut. */
export async function relayWhole<S extends WholeSource>(
  relay: WholeRelay<S>
): Promise<WholeEnd<S>> {
  let source = relay.source;
  for (;;) {
    const end = await relayOne(relay, source);
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

async function relayOne<S extends WholeSource>(
  relay: WholeRelay<S>,
  source: S
): Promise<WholeEnd<S>> {
  const {caller, signal} = relay;
  const head = new HeldHead(relay, source);
  const stop = () => source.body.destroy();
  caller.once('close', stop);
  signal.addEventListener('abort', stop, {once: true});
  if (caller.destroyed || signal.aborted) stop();
  try {
    await passAll(source.body, caller, chunk => head.pass(chunk));
    if (!source.complete()) throw new Error('the answer was cut short');
    head.release();
    relay.writeEnd(source);
    return {kind: 'done', source};
  } catch (err) {
    const detail = err instanceof Error ? err.message : String(err);
    if (caller.destroyed) return {kind: 'caller gone'};
    if (!head.released) return {kind: 'lost', detail};
    caller.destroy();
    return {kind: 'cut', detail};
  } finally {
    caller.off('close', stop);
    signal.removeEventListener('abort', stop);
  }
}

/** Holds back the head and first bytes of an answer, up to the bound. */
class HeldHead<S extends WholeSource> {
  private held: Buffer[] = [];
  private size = 0;
  released = false;

  constructor(
    private readonly relay: WholeRelay<S>,
    private readonly source: S
  ) {}

  /** Takes a chunk; false when the caller must drain first. */
  pass(chunk: Buffer): boolean {
    this.size += chunk.length;
    if (!this.released && this.size <= this.relay.holdBytes) {
      this.held.push(chunk);
      return true;
    }
    this.release();
    return this.relay.caller.write(chunk);
  }

  release(): void {
    if (this.released) return;
    this.released = true;
    this.relay.writeHead(this.source);
    for (const chunk of this.held.splice(0)) this.relay.caller.write(chunk);
  }
}

/**
 * Resolves at the end of the body; rejects when it is cut off. Reads by events:
 * an iterator costs several promises a chunk.
 */
function passAll(
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
      // Every answer closes; the stack of an error for nobody costs time.
      if (!body.readableEnded) reject(new Error('the answer broke off'));
    });
    if (body.destroyed) reject(new Error('the answer broke off'));
    caller.on('drain', resume);
  }).finally(() => caller.off('drain', resume));
}
