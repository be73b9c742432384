/**
 * Relays a token stream to a caller and resumes it at another target after a
 * loss. Buffers at most one chunk beyond the buffer of the caller's socket.
 */

import type {Readable, Writable} from 'node:stream';
import type {CancelSignal} from '../../core/cancellation';
import {Refusal, RefusalError} from '../../core/refusal';
import {abortResponse} from '../../core/responseEnd';
import {
  CutCause,
  LossCause,
  ResumePoint,
  StreamLimits,
  StreamMachine,
  StreamNext,
} from './streamMachine';

/** The response of one target that carries the stream. */
export interface StreamSource {
  readonly body: Readable;
  /** Id of the target, for refusals. */
  readonly peer: string;
  /** Model version that the target announced, where known. */
  readonly modelVersion?: string;
  /** Stops the work at the target. */
  cancel(): void;
}

/** Options of one relay. */
export interface StreamRelayOptions {
  readonly source: StreamSource;
  /** The caller's response; its head has been written, and nothing else. */
  readonly caller: Writable;
  readonly limits: StreamLimits;
  /** Timeout for the first token of each source, in milliseconds. */
  readonly firstTokenTimeoutMs: number;
  /** Timeout for each further token, in milliseconds. */
  readonly tokenTimeoutMs: number;
  /** Timeout for a caller that reads nothing, in milliseconds. */
  readonly callerTimeoutMs: number;
  /** Aborts at the deadline of the request. */
  readonly signal: CancelSignal;
  /** Opens the stream at a target of the same version; rejects if none can. */
  reopen(point: ResumePoint): Promise<StreamSource>;
  /** Formats the data of the error event that ends a cut stream. */
  errorEventData(refusal: Refusal): string;
  onResumed?(cause: LossCause): void;
  onTokens?(count: number): void;
}

/** How a relay ended. The caller's response is ended or destroyed by then. */
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

/** Resolves when the caller has the whole stream, an error, or disconnects. */
export async function relayStream(
  relay: StreamRelayOptions
): Promise<StreamEnd> {
  const machine = new StreamMachine(relay.limits);
  // An error of the caller's connection is followed by 'close', handled below.
  relay.caller.on('error', () => undefined);
  let source = relay.source;
  for (;;) {
    machine.opened(source.modelVersion);
    const end = await new SourcePump(relay, machine, source).run();
    if (end.kind === 'done') return finish(relay, machine);
    source.cancel();
    if (end.kind === 'gone')
      return {kind: 'caller gone', delivered: machine.delivered};
    const next = await handleLoss(relay, machine, end);
    if (next.kind === 'gone')
      return {kind: 'caller gone', delivered: machine.delivered};
    if (next.kind === 'cut')
      return cut(relay, machine, source.peer, next.cause, next.detail);
    source = next.source;
  }
}

type LossResult =
  | {readonly kind: 'source'; readonly source: StreamSource}
  | {readonly kind: 'gone'}
  | {readonly kind: 'cut'; readonly cause: CutCause; readonly detail: string};

async function handleLoss(
  relay: StreamRelayOptions,
  machine: StreamMachine,
  end: Extract<SourceEnd, {readonly kind: 'lost' | 'cut'}>
): Promise<LossResult> {
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
  relay: StreamRelayOptions,
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
 * Sends the refusal as the last event, then destroys the connection, so that a
 * caller which ignores error events still sees that the stream is incomplete.
 * The refusal is never that of the failed resumption, which may say "not run".
 */
function cut(
  relay: StreamRelayOptions,
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
  const text = `event: error\ndata: ${relay.errorEventData(refusal)}\n\n`;
  return new Promise(resolve => {
    const end = () => {
      clearTimeout(closeTimer);
      abortResponse(relay.caller);
      resolve({kind: 'cut', delivered, refusal});
    };
    const closeTimer = setTimeout(end, relay.callerTimeoutMs);
    relay.caller.once('close', end);
    relay.caller.write(text, end);
  });
}

/** Relays one source until it ends, is lost, or the caller disconnects. */
class SourcePump {
  private readonly listeners: (() => void)[] = [];
  private timer: NodeJS.Timeout | undefined;
  /** Duration of the running stall timer; undefined while none runs. */
  private armedTimeoutMs: number | undefined;
  private resolve: (end: SourceEnd) => void = () => undefined;

  constructor(
    private readonly relay: StreamRelayOptions,
    private readonly machine: StreamMachine,
    private readonly source: StreamSource
  ) {}

  run(): Promise<SourceEnd> {
    const {caller, signal} = this.relay;
    const {body} = this.source;
    return new Promise(resolve => {
      this.resolve = resolve;
      // Not removed at the end: a destroyed source may still emit an error.
      body.on('error', () => this.end(lost('connection lost')));
      if (caller.destroyed) return this.end({kind: 'gone'});
      if (signal.aborted) return this.end(DEADLINE_PASSED);
      if (body.destroyed) return this.end(lost('connection lost'));
      this.listen(caller, 'close', () => this.end({kind: 'gone'}));
      this.listen(body, 'end', () => this.end(lost('ended early')));
      this.listen(body, 'close', () => this.end(lost('connection lost')));
      const abort = () => this.end(DEADLINE_PASSED);
      signal.addEventListener('abort', abort);
      this.listeners.push(() => signal.removeEventListener('abort', abort));
      this.armTimer(this.relay.firstTokenTimeoutMs);
      this.listen(body, 'data', chunk => this.handleChunk(chunk as Buffer));
      body.resume();
    });
  }

  private handleChunk(chunk: Buffer): void {
    const step = this.machine.chunk(chunk);
    if (step.tokens > 0) {
      this.relay.onTokens?.(step.tokens);
      this.armTimer(this.relay.tokenTimeoutMs);
    }
    const hasRoom = step.text === '' || this.relay.caller.write(step.text);
    if (step.next.kind !== 'continue') return this.end(step.next);
    if (!hasRoom) this.pause();
  }

  /** Back-pressure: while the caller is slow, the source is not timed. */
  private pause(): void {
    const {caller, callerTimeoutMs, tokenTimeoutMs} = this.relay;
    this.source.body.pause();
    clearTimeout(this.timer);
    this.armedTimeoutMs = undefined;
    // A caller that reads nothing would occupy a slot at the target forever.
    this.timer = setTimeout(() => caller.destroy(), callerTimeoutMs);
    this.listenOnce(caller, 'drain', () => {
      this.armTimer(tokenTimeoutMs);
      this.source.body.resume();
    });
  }

  private armTimer(timeoutMs: number): void {
    if (timeoutMs === this.armedTimeoutMs) {
      // Cheaper than a new timer for every token.
      this.timer?.refresh();
      return;
    }
    clearTimeout(this.timer);
    this.armedTimeoutMs = timeoutMs;
    this.timer = setTimeout(() => this.end(lost('stalled')), timeoutMs);
  }

  private end(end: SourceEnd): void {
    clearTimeout(this.timer);
    for (const remove of this.listeners.splice(0)) remove();
    // Reads the body to its end, so that the connection can be reused.
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

const DEADLINE_PASSED: SourceEnd = {kind: 'cut', cause: 'deadline passed'};

function lost(cause: LossCause): SourceEnd {
  return {kind: 'lost', cause};
}
