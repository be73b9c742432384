/**
 * Adapter to a model engine: its status, orders, cancels and request headers.
 */

import * as z from 'zod';
import type {Dispatch} from '../core/wire';
import {
  AttemptId,
  CancelAnswer,
  CacheEvents,
  OrderAnswer,
  RequestHeaders,
  TargetAdapter,
  TargetObservation,
  TargetOrder,
} from './targetAdapter';
import {TargetClient} from './targetClient';

const STATUS_PATH = '/engine/status';
const CANCEL_PATH = '/engine/cancel';
const ORDER_PATH = '/engine/orders';

const COUNT = z.number().nonnegative();
const CACHE_EVENT = z.object({
  seq: z.number().int().positive(),
  kind: z.enum(['stored', 'removed']),
  prefix: z.string(),
});
const STATUS = z.object({
  bootId: z.string().min(1),
  state: z.enum(['ready', 'loading']),
  cold: z.boolean().optional(),
  /** The engine's clock at the response. */
  nowMs: z.number(),
  load: z.object({
    running: COUNT,
    waiting: COUNT,
    tokensInWork: COUNT,
    reportedAtMs: z.number(),
  }),
  model: z.string(),
  modelVersion: z.string(),
  role: z.enum(['mixed', 'prefill', 'decode']),
  adapters: z.array(z.string()),
  group: z
    .object({
      id: z.string(),
      rank: z.number().int().nonnegative(),
      ranks: z.number().int().positive(),
      experts: z.number().int().positive(),
      slots: z.number().int().positive(),
      step: z.number().int().nonnegative(),
      mapVersion: z.number().int().nonnegative(),
      preparedVersion: z.number().int().optional(),
      holding: z.boolean(),
    })
    .optional(),
  /** Total tokens of each expert since the boot. */
  expertTokens: z.array(COUNT).optional(),
  cacheEvents: z.array(CACHE_EVENT),
});
type Status = z.infer<typeof STATUS>;

const ORDER_ANSWER = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('done')}),
  z.object({kind: z.literal('fenced'), highestFence: z.number()}),
  z.object({kind: z.literal('failed'), detail: z.string()}),
  z.object({kind: z.literal('unsupported')}),
]);
const CANCEL_ANSWER = z.object({cancelled: z.boolean()});

const NOT_FOUND = 404;

/** The adapter to one model engine. */
export class EngineAdapter implements TargetAdapter {
  readonly peer: string;
  private readonly client: TargetClient;
  private lastStatus: Status | undefined;
  private lastCacheSeq = 0;

  constructor(host: string, port: number) {
    this.client = new TargetClient(host, port);
    this.peer = this.client.peer;
  }

  async observe(signal: AbortSignal): Promise<TargetObservation> {
    const path = `${STATUS_PATH}?cacheSince=${this.lastCacheSeq}`;
    const answer = await this.client.get(path, signal);
    const status = this.parse(STATUS, answer.status, answer.body);
    return this.applyStatus(status);
  }

  requestHeaders(dispatch: Dispatch): RequestHeaders {
    const headers: Record<string, string> = {
      'x-request-id': engineRequestId(dispatch),
      // The events are parsed while they are relayed, so they must not be
      // compressed.
      'accept-encoding': 'identity',
      'x-priority': String(dispatch.priority),
      'x-deadline-ms': String(Math.floor(dispatch.remainingMs)),
    };
    // Token ids start at 0, so the last delivered id is the count minus one.
    if (dispatch.resumeFrom !== undefined && dispatch.resumeFrom > 0)
      headers['last-event-id'] = String(dispatch.resumeFrom - 1);
    return headers;
  }

  async cancel(attempt: AttemptId, signal: AbortSignal): Promise<CancelAnswer> {
    const requestId = engineRequestId(attempt);
    const answer = await this.client.post(CANCEL_PATH, {requestId}, signal);
    if (answer.status === NOT_FOUND) return {kind: 'unsupported'};
    const {cancelled} = this.parse(CANCEL_ANSWER, answer.status, answer.body);
    return cancelled ? {kind: 'cancelled'} : {kind: 'not running'};
  }

  async order(order: TargetOrder, signal: AbortSignal): Promise<OrderAnswer> {
    const answer = await this.client.post(ORDER_PATH, order, signal);
    if (answer.status === NOT_FOUND) return {kind: 'unsupported'};
    return this.parse(ORDER_ANSWER, answer.status, answer.body);
  }

  close(): void {
    this.client.close();
  }

  /**
   * Responses can arrive out of order; an older status must not replace a newer
   * one.
   */
  private applyStatus(status: Status): TargetObservation {
    const previous =
      this.lastStatus?.bootId === status.bootId ? this.lastStatus : undefined;
    const isStale = previous !== undefined && previous.nowMs > status.nowMs;
    const latest = isStale ? previous : status;
    const cacheEvents = this.newCacheEvents(status, previous === undefined);
    this.lastStatus = latest;
    return {
      bootId: latest.bootId,
      state: latest.state,
      cold: latest.cold,
      load: {
        ...latest.load,
        loadAgeMs: Math.max(0, latest.nowMs - latest.load.reportedAtMs),
      },
      model: latest.model,
      modelVersion: latest.modelVersion,
      role: latest.role,
      adapters: latest.adapters,
      group: latest.group,
      expertCounts: increments(latest.expertTokens, previous?.expertTokens),
      cacheEvents,
    };
  }

  private newCacheEvents(status: Status, isNewBoot: boolean): CacheEvents {
    if (isNewBoot) this.lastCacheSeq = 0;
    const events = status.cacheEvents
      .filter(event => event.seq > this.lastCacheSeq)
      .sort((a, b) => a.seq - b.seq);
    const highestSeq = events.at(-1)?.seq ?? this.lastCacheSeq;
    const missed = highestSeq - this.lastCacheSeq - events.length;
    this.lastCacheSeq = highestSeq;
    return {events, missed};
  }

  private parse<T>(schema: z.ZodType<T>, status: number, body: unknown): T {
    const result = schema.safeParse(body);
    if (result.success) return result.data;
    throw this.client.rejected(
      status,
      `unexpected response: ${z.prettifyError(result.error)}`
    );
  }
}

/**
 * Request id for the engine, unique to the attempt. A stream may be resumed on
 * the engine that lost it, and a late cancel of the lost attempt must not stop
 * the new one.
 */
function engineRequestId({requestId, attempt}: AttemptId): string {
  return `${requestId}.${attempt}`;
}

/** Increments of running totals; the totals themselves after a restart. */
function increments(
  now: readonly number[] | undefined,
  before: readonly number[] | undefined
): readonly number[] | undefined {
  return now?.map((total, expert) =>
    Math.max(0, total - (before?.[expert] ?? 0))
  );
}
