/** Steady, bounded calls of all kinds, each recorded with what came of it. */

import {setTimeout as delay} from 'node:timers/promises';
import {CALL_ID_HEADER} from '../../fakes/runRecord';
import {CallerAnswer, call} from '../deployment/callers';
import type {Deployment} from '../deployment/deployment';
import type {SeededRandom} from '../fuzz/schedule';
import {judgeOnce, judgeRead, judgeStream, judgeWhole} from './expected';
import type {CallKind, CallResult, FaultEvent} from './history';

/** Longer than the pools' timeout of 10 s, with the reading of an answer. */
const SILENT_AFTER_MS = 20_000;
const PAUSE_MS = 20;
const RESENDS = 3;
const RESEND_PAUSE_MS = 150;
const WHOLE_TOKENS = 8;
const STREAM_TOKENS = 80;
/** Share of keyed calls that a balancer sends to both entries at once. */
const SENT_TWICE = 0.3;

/** Callers of one run; the platform's balancer keeps them off some entries. */
export class Traffic {
  /** Entries that say that they are not ready. */
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

  /** Ends when every call has been answered or given up. */
  async stop(): Promise<void> {
    this.running = false;
    await Promise.all(this.loops);
  }

  /** One call of each kind at an entry; whether all were served. */
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
      await delay(PAUSE_MS);
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
    const judge = stream ? judgeStream : judgeWhole;
    return this.send(entry, kind, {
      path: '/v1/chat/completions',
      body: JSON.stringify(body),
      judge: answer => judge(answer, prompt, tokens),
    });
  }

  private readonly read = (entry: number): Promise<CallResult> => {
    const path = `/echo/${this.nextName()}`;
    const judge = (answer: CallerAnswer) => judgeRead(answer, path);
    return this.send(entry, 'read', {path, judge});
  };

  /** Sent again, by turns through the other entry, until it is settled. */
  private readonly once = async (entry: number): Promise<CallResult> => {
    const key = this.nextName();
    const sendOnce = (at: number) =>
      this.send(at, 'once', {
        path: '/assign',
        key,
        body: JSON.stringify({box: key}),
        judge: answer => judgeOnce(answer, key, key),
      });
    const other = 1 - entry;
    const isTwin = this.random.chance(SENT_TWICE) && !this.notReady.has(other);
    const twin = isTwin ? sendOnce(other) : undefined;
    let result = await sendOnce(entry);
    for (let i = 0; i < RESENDS && this.running; i++) {
      if (result.kind === 'whole') break;
      await delay(RESEND_PAUSE_MS);
      const at = i % 2 === 0 ? other : entry;
      if (!this.notReady.has(at)) result = await sendOnce(at);
    }
    await twin;
    return result;
  };

  private async send(
    entry: number,
    kind: CallKind,
    call: Sending
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
    const result = await this.resultOf(entry, callId, call);
    this.record({kind: 'answered', atMs: Date.now(), callId, result});
    return result;
  }

  private async resultOf(
    entry: number,
    callId: string,
    {path, body, key, judge}: Sending
  ): Promise<CallResult> {
    const signal = AbortSignal.timeout(SILENT_AFTER_MS);
    const headers: Record<string, string> = {[CALL_ID_HEADER]: callId};
    if (key !== undefined) headers['idempotency-key'] = key;
    const method = body === undefined ? 'GET' : 'POST';
    const port = this.deployment.entryPort(entry);
    try {
      return judge(await call(port, path, {method, headers, body, signal}));
    } catch (err) {
      if (signal.aborted) return {kind: 'silent'};
      return {kind: 'broken', detail: describe(err)};
    }
  }

  private nextName(): string {
    return `${this.prefix}-${this.count++}`;
  }
}

interface Sending {
  readonly path: string;
  readonly body?: string;
  readonly key?: string;
  readonly judge: (answer: CallerAnswer) => CallResult;
}

/** `fetch` hides what failed in the cause. */
function describe(err: unknown): string {
  if (!(err instanceof Error)) return String(err);
  return err.cause === undefined
    ? err.message
    : `${err.message}: ${String(err.cause)}`;
}
