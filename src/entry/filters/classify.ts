/** Determines the pool, limits and kind of a call, and reads its body. */

import {hasUnknownCoding} from '../../core/bodyFraming';
import {CallContext} from '../../core/callContext';
import {refuse} from '../../core/refusal';
import {hasBody} from '../../core/upstream';
import type {MemoryAccount, MemoryHolding} from '../../inbound/memoryAccount';
import type {RouteCandidate, RuleIndex} from '../../rules/ruleIndex';
import type {CallBody, ClassifiedCall, Filter, IdentifiedCall} from '../call';
import {
  ChatRequest,
  isChatCompletion,
  parseCallerResume,
  parseChatRequest,
} from '../chat/chatRequest';
import {readBodyBeforeDeadline} from '../readBodyBeforeDeadline';

/** Bodies up to this size are buffered, so that the call can be retried. */
const MAX_REPLAY_BYTES = 64 * 1024;
const PRIORITY_HEADER = 'x-priority';
const LAST_EVENT_HEADER = 'last-event-id';
const MODEL_VERSION_HEADER = 'marlpulley-model-version';
const MAX_PRIORITY = 9;

/** Options of the filter. */
export interface ClassifyOptions {
  readonly entryId: string;
  readonly maxBodyBytes: number;
  readonly memory: MemoryAccount;
  readonly random: () => number;
}

/** Refuses calls without a route, and malformed, late or too large bodies. */
export function classify(
  options: ClassifyOptions
): Filter<IdentifiedCall, ClassifiedCall> {
  return async (call, next) => {
    const room = options.memory.open('callers');
    try {
      await next(await classifyCall(call, options, room));
    } finally {
      room.release();
    }
  };
}

async function classifyCall(
  call: IdentifiedCall,
  options: ClassifyOptions,
  room: MemoryHolding
): Promise<ClassifiedCall> {
  const {req, res, rules, customer, requestId} = call;
  const path = req.url ?? '/';
  if (hasUnknownCoding(req))
    throw refuse(
      'malformed-request',
      'classify',
      options.entryId,
      'unknown transfer coding'
    );
  const pool = poolOf(call, path, options);
  const limit = rules.limit(pool);
  const once = rules.onceRule(req.method ?? 'GET', path);
  const isChat =
    rules.poolKind(pool) === 'engine' &&
    isChatCompletion(req.method ?? 'GET', path);
  const progress = new CallContext(
    requestId,
    performance.now() + limit.timeoutMs,
    options.entryId
  );
  const body = await readOrStreamBody(
    call,
    progress,
    isChat || once !== undefined,
    options,
    room
  );
  const chat = isChat ? readChat(body, options.entryId) : undefined;
  assertModelServed(rules, pool, chat, options.entryId);
  const resume =
    chat?.stream === true ? readResume(call, options.entryId) : undefined;
  const priority = priorityOf(call);
  return {
    req,
    res,
    requestId,
    rules,
    customer,
    progress,
    pool,
    limit,
    once,
    body,
    chat,
    resume,
    priority,
  };
}

function poolOf(
  {rules, customer}: IdentifiedCall,
  path: string,
  {entryId, random}: ClassifyOptions
): string {
  const pool = pickPool(rules.routes(customer, path), random);
  if (pool !== undefined) return pool;
  const detail = `no route for ${customer} and this path`;
  throw refuse('no-route', 'classify', entryId, detail);
}

/** Refuses a model that the pool's rules do not list: no target serves it. */
function assertModelServed(
  rules: RuleIndex,
  pool: string,
  chat: ChatRequest | undefined,
  entryId: string
): void {
  const model = chat?.model;
  if (model === undefined || rules.serveRules(pool).length === 0) return;
  if (rules.servesModel(pool, model)) return;
  const detail = `no "serve ${pool}" line names the model of the request`;
  throw refuse('no-route', 'classify', entryId, detail);
}

/** Picks a pool at random, in proportion to the weights. */
function pickPool(
  routes: readonly RouteCandidate[],
  random: () => number
): string | undefined {
  const total = routes.reduce((sum, route) => sum + route.weight, 0);
  let point = random() * total;
  for (const route of routes) {
    point -= route.weight;
    if (point < 0) return route.pool;
  }
  return routes.at(-1)?.pool;
}

function readChat(body: CallBody, entryId: string): ChatRequest {
  return parseChatRequest(
    body.kind === 'buffered' ? body.bytes : Buffer.alloc(0),
    entryId
  );
}

function readResume({req}: IdentifiedCall, entryId: string) {
  const version = req.headers[MODEL_VERSION_HEADER];
  const modelVersion = typeof version === 'string' ? version : undefined;
  return parseCallerResume(
    req.headers[LAST_EVENT_HEADER]?.toString(),
    modelVersion,
    entryId
  );
}

async function readOrStreamBody(
  {req, res}: IdentifiedCall,
  progress: CallContext,
  mustBuffer: boolean,
  {entryId, maxBodyBytes}: ClassifyOptions,
  room: MemoryHolding
): Promise<CallBody> {
  if (!hasBody(req)) return {kind: 'none'};
  const length = Number(req.headers['content-length'] ?? Infinity);
  const isStreamed = !mustBuffer && length > MAX_REPLAY_BYTES;
  const tooLarge = `more than ${maxBodyBytes} bytes`;
  if (!isStreamed && length !== Infinity && length > maxBodyBytes) {
    throw refuse('body-too-large', 'classify', entryId, tooLarge);
  }
  // Sent only after the checks above, so that a refused caller sends no body.
  if (req.headers.expect !== undefined) res.writeContinue();
  if (isStreamed) return {kind: 'streaming'};
  const bytes = await readBodyBeforeDeadline(req, {
    maxBytes: maxBodyBytes,
    progress,
    entryId,
    room,
  });
  return {kind: 'buffered', bytes};
}

function priorityOf({req}: IdentifiedCall): number {
  const value = Number(req.headers[PRIORITY_HEADER] ?? 0);
  if (!Number.isInteger(value)) return 0;
  return Math.min(MAX_PRIORITY, Math.max(0, value));
}
