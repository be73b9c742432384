/**
 * Relays a token stream to a caller, from one target after the other. Holds
 * no more than one chunk beyond what the caller's own socket buffers.
 */

import type {Readable, Writable} from 'node:stream';
import type {CancelSignal} from '../../core/cancellation';
import {Refusal, RefusalError} from '../../core/refusal';
import {
  CutCause,
  LossCause,
  ResumePoint,
  StreamLimits,
  StreamMachine,
  StreamNext,
} from './streamMachine';

/** One target's answer that carries the stream. */
export interface StreamSource {
  readonly body: Readable;
  /** Target that answers, for errors. */
  readonly peer: string;
  /** Version that the target announced, where known. */
  readonly modelVersion?: string;
  /** Stops the work at the target. */
  cancel(): void;
}

/** All that one relay needs. */
export interface StreamRelay {
  readonly source: StreamSource;
  /** Its head has been written; nothing else has. */
  readonly caller: Writable;
  readonly limits: StreamLimits;
  /** Longest wait for the first token of each source, in milliseconds. */
  readonly firstTokenTimeoutMs: number;
  /** Longest wait between tokens, in milliseconds. */
  readonly tokenTimeoutMs: number;
  /** Longest wait for a caller that reads nothing, in milliseconds. */
  readonly callerTimeoutMs: number;
  /** Aborts at the deadline of the request. */
  readonly signal: CancelSignal;
  /** Another target of the same model and version; rejects when none can. */
  reopen(point: ResumePoint): Promise<StreamSource>;
  /** The JSON of the last event of a stream that is cut. */
  describe(refusal: Refusal): string;
  onResumed?(cause: LossCause): void;
  onTokens?(count: number): void;
}

/** How a relay ended. The caller's stream is then ended or destroyed. */
export type StreamEnd =
  | {readonly kind: 'done'; readonly delivered: number}
  | {readonly kind: 'caller gone'; readonly delivered: number}
  | {
      readonly kind: 'cut';
      readonly delivered: number;
      readonly refusal: Refusal;
    };

/** How one source ended. */
type SourceEnd =
  Exclude<StreamNext, {readonly kind: 'continue'}> | {readonly kind: 'gone'};

/** Resolves when the caller has got all, or an error, or has gone. */
export async function relayStream(relay: StreamRelay): Promise<StreamEnd> {
  const machine = new StreamMachine(relay.limits);
  // Whatever fails at the caller shows as its close, which is handled.
  relay.caller.on('error', () => undefined);
  let source = relay.source;
  for (;;) {
    machine.opened(source.modelVersion);
    const end = await new SourcePump(relay, machine, source).run();
    if (end.kind === 'done') return finish(relay, machine);
    source.cancel();
    if (end.kind === 'gone')
      return {kind: 'caller gone', delivered: machine.delivered};
    const next = await afterLoss(relay, machine, end);
    if (next.kind === 'gone')
      return {kind: 'caller gone', delivered: machine.delivered};
    if (next.kind === 'cut')
      return cut(relay, machine, source.peer, next.cause, next.detail);
    source = next.source;
  }
}

type AfterLoss =
  | {readonly kind: 'source'; readonly source: StreamSource}
  | {readonly kind: 'gone'}
  | {readonly kind: 'cut'; readonly cause: CutCause; readonly detail: string};

async function afterLoss(
  relay: StreamRelay,
  machine: StreamMachine,
  end: Extract<SourceEnd, {readonly kind: 'lost' | 'cut'}>
): Promise<AfterLoss> {
  const decision = end.kind === 'lost' ? machine.lost(end.cause) : end;
  if (decision.kind === 'cut')
    return {kind: 'cut', cause: decision.cause, detail: end.cause};
  try {
    const source = await relay.reopen(decision.point);
    if (relay.caller.destroyed) {
      source.cancel();
      return {kind: 'gone'};
    }
    relay.onResumed?.(decision.point.cause);
    return {kind: 'source', source};
  } catch (err) {
    if (relay.caller.destroyed) return {kind: 'gone'};
    const detail = `${decision.point.cause}; ${detailOf(err)}`;
    return {kind: 'cut', cause: 'no other target', detail};
  }
}

function detailOf(err: unknown): string {
  if (err instanceof RefusalError) return err.refusal.reason;
  return err instanceof Error ? err.message : String(err);
}

function finish(
  relay: StreamRelay,
  machine: StreamMachine
): Promise<StreamEnd> {
  const {caller, callerTimeoutMs} = relay;
  const {delivered} = machine;
  return new Promise(resolve => {
    const timer = setTimeout(() => caller.destroy(), callerTimeoutMs);
    const end = (kind: 'done' | 'caller gone') => {
      clearTimeout(timer);
      resolve({kind, delivered});
    };
    caller.once('close', () => end('caller gone'));
    caller.end(() => end('done'));
  });
}

/**
 * The last event names the refusal, and the connection is destroyed after it:
 * a reader that ignores events still sees that the answer is not whole. The
 * refusal is never the one of the attempt to resume, which may say "not run".
 */
function cut(
  relay: StreamRelay,
  machine: StreamMachine,
  peer: string,
  cause: CutCause,
  detail: string
): Promise<StreamEnd> {
  const {delivered} = machine;
  const refusal: Refusal = {
    reason: 'stream-cut',
    step: 'answer',
    peer,
    detail: `${cause} after ${delivered} tokens (${detail})`,
  };
  const text = `event: error\ndata: ${relay.describe(refusal)}\n\n`;
  return new Promise(resolve => {
    const end = () => {
      clearTimeout(grace);
      relay.caller.destroy();
      resolve({kind: 'cut', delivered, refusal});
    };
    const grace = setTimeout(end, relay.callerTimeoutMs);
    relay.caller.once('close', end);
    relay.caller.write(text, end);
  });
}

/** Moves one source's bytes until it ends, one way or another. */
class SourcePump {
  private readonly listeners: (() => void)[] = [];
  private timer: NodeJS.Timeout | undefined;
  /** What the timer waits for the source; undefined while it is not awaited. */
  private awaitedMs: number | undefined;
  private resolve: (end: SourceEnd) => void = () => undefined;

  constructor(
    private readonly relay: StreamRelay,
    private readonly machine: StreamMachine,
    private readonly source: StreamSource
  ) {}

  run(): Promise<SourceEnd> {
    const {caller, signal} = this.relay;
    const {body} = this.source;
    return new Promise(resolve => {
      this.resolve = resolve;
      // Outlives the pump: a destroyed source may still report its error.
      body.on('error', () => this.end(lost('connection lost')));
      if (caller.destroyed) return this.end({kind: 'gone'});
      if (signal.aborted) return this.end(DEADLINE);
      if (body.destroyed) return this.end(lost('connection lost'));
      this.listen(caller, 'close', () => this.end({kind: 'gone'}));
      this.listen(body, 'end', () => this.end(lost('ended early')));
      this.listen(body, 'close', () => this.end(lost('connection lost')));
      const abort = () => this.end(DEADLINE);
      signal.addEventListener('abort', abort);
      this.listeners.push(() => signal.removeEventListener('abort', abort));
      this.await(this.relay.firstTokenTimeoutMs);
      this.listen(body, 'data', chunk => this.take(chunk as Buffer));
      body.resume();
    });
  }

  private take(chunk: Buffer): void {
    const step = this.machine.chunk(chunk);
    if (step.tokens > 0) {
      this.relay.onTokens?.(step.tokens);
      this.await(this.relay.tokenTimeoutMs);
    }
    const room = step.text === '' || this.relay.caller.write(step.text);
    if (step.next.kind !== 'continue') return this.end(step.next);
    if (!room) this.pause();
  }

  /** Back-pressure: while the caller is slow the source is not to blame. */
  private pause(): void {
    const {caller, callerTimeoutMs, tokenTimeoutMs} = this.relay;
    this.source.body.pause();
    clearTimeout(this.timer);
    this.awaitedMs = undefined;
    // A caller that reads nothing would hold a place at the target for ever.
    this.timer = setTimeout(() => caller.destroy(), callerTimeoutMs);
    this.listenOnce(caller, 'drain', () => {
      this.await(tokenTimeoutMs);
      this.source.body.resume();
    });
  }

  private await(timeoutMs: number): void {
    if (timeoutMs === this.awaitedMs) {
      // After every token but the first: anew costs three times as much.
      this.timer?.refresh();
      return;
    }
    clearTimeout(this.timer);
    this.awaitedMs = timeoutMs;
    this.timer = setTimeout(() => this.end(lost('stalled')), timeoutMs);
  }

  private end(end: SourceEnd): void {
    clearTimeout(this.timer);
    for (const remove of this.listeners.splice(0)) remove();
    // Lets a kept connection run dry, so that it can be used again.
    if (end.kind === 'done') this.source.body.resume();
    this.resolve(end);
  }

  private listen(
    emitter: Readable | Writable,
    name: string,
    listener: (value: unknown) => void
  ): void {
    emitter.on(name, listener);
    this.listeners.push(() => emitter.off(name, listener));
  }

  private listenOnce(
    emitter: Writable,
    name: string,
    listener: () => void
  ): void {
    emitter.once(name, listener);
    this.listeners.push(() => emitter.off(name, listener));
  }
}

const DEADLINE: SourceEnd = {kind: 'cut', cause: 'deadline passed'};

function lost(cause: LossCause): SourceEnd {
  return {kind: 'lost', cause};
}
