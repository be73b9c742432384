/** Steady, bounded traffic of all kinds of calls, recorded with their results. */

import {setTimeout as delay} from 'node:timers/promises';
import {CALL_ID_HEADER} from '../../fakes/runRecord';
import {CallerAnswer, call} from '../deployment/callers';
import type {Deployment} from '../deployment/deployment';
import type {SeededRandom} from '../fuzz/schedule';
import {
  classifyAssignment,
  classifyCompletion,
  classifyRead,
  classifyStream,
} from './classifyResponse';
import type {CallKind, CallResult, FaultEvent} from './history';

/** Exceeds the pools' timeout of 10 s plus the time to read a response. */
const CALL_TIMEOUT_MS = 20_000;
const CALL_INTERVAL_MS = 20;
const MAX_RESENDS = 3;
const RESEND_INTERVAL_MS = 150;
const WHOLE_TOKENS = 8;
const STREAM_TOKENS = 80;
/** Share of keyed calls that are sent to both entries at once. */
const DUPLICATE_SHARE = 0.3;

/** The callers of one run. Like a platform's balancer, they avoid entries that are not ready. */
export class Traffic {
  /** Entries that report not ready. */
  readonly notReady = new Set<number>();
  private running = true;
  private readonly loops: readonly Promise<void>[];
  private count = 0;

  constructor(
    private readonly deployment: Deployment,
    private readonly random: SeededRandom,
    private readonly record: (event: FaultEvent) => void,
    private readonly prefix: string
  ) {
    const {whole, stream, read, once} = this;
    const clients = [whole, whole, stream, stream, stream, read, once, once];
    this.loops = clients.map(send => this.loop(send));
  }

  /** Stops the traffic; resolves when every call has ended or timed out. */
  async stop(): Promise<void> {
    this.running = false;
    await Promise.all(this.loops);
  }

  /** Sends one call of each kind to an entry; resolves with whether all were served. */
  async probe(entry: number): Promise<boolean> {
    const sends = [this.whole, this.stream, this.read, this.once];
    const results = await Promise.all(sends.map(send => send(entry)));
    return results.every(({kind}) => kind === 'whole');
  }

  private async loop(
    send: (entry: number) => Promise<CallResult>
  ): Promise<void> {
    while (this.running) {
      const entry = this.pickEntry();
      if (entry !== undefined) await send(entry);
      await delay(CALL_INTERVAL_MS);
    }
  }

  private pickEntry(): number | undefined {
    const ready = Array.from(
      {length: this.deployment.shape.entries},
      (_, i) => i
    ).filter(i => !this.notReady.has(i));
    return ready.length === 0 ? undefined : this.random.pick(ready);
  }

  private readonly whole = (entry: number): Promise<CallResult> =>
    this.chat(entry, 'whole');

  private readonly stream = (entry: number): Promise<CallResult> =>
    this.chat(entry, 'stream');

  private chat(entry: number, kind: 'whole' | 'stream'): Promise<CallResult> {
    const prompt = `prompt ${this.nextName()}`;
    const stream = kind === 'stream';
    const tokens = stream ? STREAM_TOKENS : WHOLE_TOKENS;
    const messages = [{role: 'user', content: prompt}];
    const body = {model: 'planner', stream, max_tokens: tokens, messages};
    const classify = stream ? classifyStream : classifyCompletion;
    return this.send(entry, kind, {
      path: '/v1/chat/completions',
      body: JSON.stringify(body),
      classify: answer => classify(answer, prompt, tokens),
    });
  }

  private readonly read = (entry: number): Promise<CallResult> => {
    const path = `/echo/${this.nextName()}`;
    const classify = (answer: CallerAnswer) => classifyRead(answer, path);
    return this.send(entry, 'read', {path, classify});
  };

  /** Sends a keyed call and resends it through alternating entries until it succeeds. */
  private readonly once = async (entry: number): Promise<CallResult> => {
    const key = this.nextName();
    const sendOnce = (at: number) =>
      this.send(at, 'once', {
        path: '/assign',
        key,
        body: JSON.stringify({box: key}),
        classify: answer => classifyAssignment(answer, key, key),
      });
    const other = 1 - entry;
    const isDuplicated =
      this.random.chance(DUPLICATE_SHARE) && !this.notReady.has(other);
    const duplicate = isDuplicated ? sendOnce(other) : undefined;
    let result = await sendOnce(entry);
    for (let i = 0; i < MAX_RESENDS && this.running; i++) {
      if (result.kind === 'whole') break;
      await delay(RESEND_INTERVAL_MS);
      const at = i % 2 === 0 ? other : entry;
      if (!this.notReady.has(at)) result = await sendOnce(at);
    }
    await duplicate;
    return result;
  };

  private async send(
    entry: number,
    kind: CallKind,
    call: PlannedCall
  ): Promise<CallResult> {
    const callId = `${kind}-${this.nextName()}`;
    this.record({
      kind: 'sent',
      atMs: Date.now(),
      callId,
      call: kind,
      entry: `entry-${entry}`,
      key: call.key,
    });
    const result = await this.resultOfCall(entry, callId, call);
    this.record({kind: 'answered', atMs: Date.now(), callId, result});
    return result;
  }

  private async resultOfCall(
    entry: number,
    callId: string,
    {path, body, key, classify}: PlannedCall
  ): Promise<CallResult> {
    const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
    const headers: Record<string, string> = {[CALL_ID_HEADER]: callId};
    if (key !== undefined) headers['idempotency-key'] = key;
    const method = body === undefined ? 'GET' : 'POST';
    const port = this.deployment.entryPort(entry);
    try {
      return classify(await call(port, path, {method, headers, body, signal}));
    } catch (err) {
      if (signal.aborted) return {kind: 'silent'};
      return {kind: 'broken', detail: describeError(err)};
    }
  }

  private nextName(): string {
    return `${this.prefix}-${this.count++}`;
  }
}

interface PlannedCall {
  readonly path: string;
  readonly body?: string;
  readonly key?: string;
  readonly classify: (answer: CallerAnswer) => CallResult;
}

/** Error message with its cause, where `fetch` puts the actual failure. */
function describeError(err: unknown): string {
  if (!(err instanceof Error)) return String(err);
  return err.cause === undefined
    ? err.message
    : `${err.message}: ${String(err.cause)}`;
}
