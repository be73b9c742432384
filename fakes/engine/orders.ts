/** Orders that a fake engine accepts, and their execution. */

import * as z from 'zod';
import {unreachable} from '../../src/core/errors';
import type {EngineConfig} from './engineConfig';
import type {EngineState} from './engineState';

const INTEGER = z.number().int();
const fence = z.number().int();

const ORDER = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('loadModel'),
    fence,
    model: z.string(),
    modelVersion: z.string(),
  }),
  z.object({kind: z.literal('loadAdapter'), fence, adapter: z.string()}),
  z.object({kind: z.literal('setVersion'), fence, modelVersion: z.string()}),
  z.object({
    kind: z.literal('setRole'),
    fence,
    role: z.enum(['mixed', 'prefill', 'decode']),
  }),
  z.object({
    kind: z.literal('prepareMap'),
    fence,
    version: INTEGER,
    switchStep: INTEGER,
    slots: z.array(z.array(z.number().int())),
  }),
  z.object({
    kind: z.literal('decideMap'),
    fence,
    version: INTEGER,
    decision: z.enum(['commit', 'abort']),
  }),
  z.object({
    kind: z.literal('loadExpert'),
    fence,
    expert: z.number().int(),
    slot: z.number().int(),
  }),
]);
type Order = z.infer<typeof ORDER>;

/** Response body to an order. */
export type Answer =
  | {readonly kind: 'done'}
  | {readonly kind: 'fenced'; readonly highestFence: number}
  | {readonly kind: 'failed'; readonly detail: string}
  | {readonly kind: 'unsupported'};

const DONE: Answer = {kind: 'done'};

/** Rejects an outdated fencing token if configured, then executes the order. */
export async function executeOrder(
  state: EngineState,
  cfg: EngineConfig,
  body: unknown,
  nowMs: number
): Promise<Answer> {
  const parsed = ORDER.safeParse(body);
  if (!parsed.success) return {kind: 'unsupported'};
  const order = parsed.data;
  if (cfg.refuseOldFences && order.fence < state.highestFence)
    return {kind: 'fenced', highestFence: state.highestFence};
  state.highestFence = Math.max(state.highestFence, order.fence);
  const failure = await fetchWeights(order, cfg);
  if (failure !== undefined) return {kind: 'failed', detail: failure};
  return applyOrder(state, cfg, order, nowMs);
}

function applyOrder(
  state: EngineState,
  cfg: EngineConfig,
  order: Order,
  nowMs: number
): Answer {
  switch (order.kind) {
    case 'loadModel':
      state.model = order.model;
      state.modelVersion = order.modelVersion;
      state.loadingUntilMs = nowMs + cfg.loadMs;
      return DONE;
    case 'setVersion':
      state.modelVersion = order.modelVersion;
      state.loadingUntilMs = nowMs + cfg.loadMs;
      return DONE;
    case 'loadAdapter':
      if (!state.adapters.includes(order.adapter))
        state.adapters.push(order.adapter);
      return DONE;
    case 'setRole':
      state.role = order.role;
      return DONE;
    case 'prepareMap':
      return answerOf(
        state.rank.prepare(order.version, order.switchStep, order.slots)
      );
    case 'decideMap':
      return answerOf(state.rank.decide(order.version, order.decision));
    case 'loadExpert':
      return DONE;
    default:
      return unreachable(order);
  }
}

function answerOf(failure: string | undefined): Answer {
  return failure === undefined ? DONE : {kind: 'failed', detail: failure};
}

/** Fetches the weights that the order needs; returns why that failed, or undefined. */
async function fetchWeights(
  order: Order,
  cfg: EngineConfig
): Promise<string | undefined> {
  const name = weightsName(order);
  if (cfg.weightStore === undefined || name === undefined) return undefined;
  const res = await fetch(`${cfg.weightStore}/weights/${name}`).catch(
    () => undefined
  );
  if (res === undefined) return 'weight store: no answer';
  await res.arrayBuffer();
  return res.ok ? undefined : `weight store: status ${res.status}`;
}

function weightsName(order: Order): string | undefined {
  switch (order.kind) {
    case 'loadModel':
    case 'setVersion':
      return `model-${order.modelVersion}`;
    case 'loadAdapter':
      return `adapter-${order.adapter}`;
    case 'loadExpert':
      return `expert-${order.expert}`;
    default:
      return undefined;
  }
}
