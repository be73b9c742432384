/**
 * JSON-RPC methods between our processes, and the schemas that validate their
 * parameters.
 */

import * as z from 'zod';
import type {ModelOrder, OrderCheck} from '../core/fleetMessages';
import type {Announcement, CustomerUsage, PollRequest} from '../core/wire';
import type {RecordedAnswer, Settlement} from '../core/claims';

/** Names of the JSON-RPC methods. */
export const METHODS = {
  poll: 'poll',
  submit: 'submit',
  claim: 'claim',
  settle: 'settle',
  lookupClaim: 'lookupClaim',
  status: 'status',
  usage: 'usage',
  log: 'log',
  fenceClaim: 'fenceClaim',
  locate: 'locate',
  map: 'map',
  modelOrder: 'modelOrder',
  checkOrder: 'checkOrder',
} as const;

const id = z.string().min(1).max(200);
const nonNegative = z.number().nonnegative();

const announcement: z.ZodType<Announcement> = z.object({
  targetId: id,
  pool: id,
  availabilityZone: id,
  host: id,
  port: z.int().min(1).max(65535),
  agentBootId: id,
  agentBootAtMs: nonNegative,
  seq: z.int().nonnegative(),
  state: z.enum(['serving', 'leaving']),
  temperature: z.enum(['cold', 'warming', 'warm']),
  limit: nonNegative,
  outstanding: nonNegative,
  queued: nonNegative,
  model: z.string().optional(),
  modelVersion: z.string().optional(),
  group: z
    .object({
      id,
      rank: z.int().nonnegative(),
      ranks: z.int().positive(),
      experts: z.int().positive(),
      slots: z.int().positive(),
    })
    .optional(),
  tokensInWork: nonNegative.optional(),
  slowdown: nonNegative.optional(),
  loadAgeMs: nonNegative.optional(),
  prefixes: z.array(z.string()).max(4096).optional(),
});

const usage: z.ZodType<CustomerUsage> = z.object({
  customer: id,
  requests: nonNegative,
  tokens: nonNegative,
  queueMs: nonNegative,
});

/** See PollRequest. */
export const pollRequest: z.ZodType<PollRequest> = z.object({
  processId: id,
  role: z.enum(['entry', 'agent']),
  bootId: id,
  availabilityZone: id,
  heldRevision: z.int().nonnegative(),
  takesDiff: z.boolean().optional(),
  provenAgeMs: nonNegative.optional(),
  announcement: announcement.optional(),
  unchanged: z
    .object({targetId: id, agentBootId: id, seq: z.int().nonnegative()})
    .optional(),
  membership: z.object({bootId: id, version: z.int()}).optional(),
  subset: z.int().positive().optional(),
  usage: z.array(usage).optional(),
  usagePart: z.boolean().optional(),
});

/** Submits a rule file as the new revision. */
export interface SubmitRequest {
  readonly text: string;
}

/** See SubmitRequest. */
export const submitRequest: z.ZodType<SubmitRequest> = z.object({
  text: z.string(),
});

/** Claims an idempotency key for one dispatch. Sent by an entry. */
export interface ClaimRequest {
  readonly customer: string;
  readonly key: string;
  /** SHA-256 over method, path and body, in hex. */
  readonly digest: string;
  readonly entryId: string;
  /**
   * A claim that is sent again with the same request id counts as the same
   * claim.
   */
  readonly requestId: string;
  readonly targetId: string;
  readonly agentBootId: string;
}

/** See ClaimRequest. */
export const claimRequest: z.ZodType<ClaimRequest> = z.object({
  customer: id,
  key: id,
  digest: id,
  entryId: id,
  requestId: id,
  targetId: id,
  agentBootId: id,
});

const recordedAnswer: z.ZodType<RecordedAnswer> = z.object({
  status: z.int(),
  headers: z.array(z.tuple([z.string(), z.string()])),
  bodyBase64: z.string(),
  endUnmarked: z.literal(true).optional(),
});

const settlement: z.ZodType<Settlement> = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('answered'), answer: recordedAnswer}),
  z.object({kind: z.literal('not run')}),
  z.object({kind: z.literal('unknown')}),
]);

/** Looks up the record of an idempotency key without claiming the key. */
export type LookupRequest = Pick<ClaimRequest, 'customer' | 'key' | 'digest'>;

/** See LookupRequest. */
export const lookupRequest: z.ZodType<LookupRequest> = z.object({
  customer: id,
  key: id,
  digest: id,
});

/** Records how an attempt under an idempotency key ended. */
export interface SettleRequest {
  readonly customer: string;
  readonly key: string;
  readonly attempt: number;
  readonly settlement: Settlement;
}

/** See SettleRequest. */
export const settleRequest: z.ZodType<SettleRequest> = z.object({
  customer: id,
  key: id,
  attempt: z.int().positive(),
  settlement,
});

/**
 * Queries the state of a claim at its agent. The agent fences a claim that has
 * not run.
 */
export interface FenceClaimRequest {
  readonly customer: string;
  readonly key: string;
  readonly attempt: number;
  /** Boot of the agent for which the claim was made. */
  readonly agentBootId: string;
}

/** See FenceClaimRequest. */
export const fenceClaimRequest: z.ZodType<FenceClaimRequest> = z.object({
  customer: id,
  key: id,
  attempt: z.int().positive(),
  agentBootId: id,
});

/** The state of a claim at its agent. */
export type FenceClaimAnswer =
  /**
   * It has not run and never will: the agent refuses later dispatches of it.
   */
  | {readonly kind: 'fenced'}
  | {readonly kind: 'running'}
  /** It ran; with the response, if the agent still has it. */
  | {readonly kind: 'ran'; readonly answer?: RecordedAnswer}
  /**
   * The agent has restarted; whether the claim ran in its own boot is unknown.
   */
  | {readonly kind: 'other boot'};

/** Queries a control instance for a target outside the entry's subset. */
export interface LocateRequest {
  readonly targetId: string;
}

/** See LocateRequest. */
export const locateRequest: z.ZodType<LocateRequest> = z.object({targetId: id});

/** The latest announcement of the target at this instance, if there is one. */
export interface LocateAnswer {
  readonly announcement?: Announcement;
}
/** See ModelOrder. */
export const modelOrder: z.ZodType<ModelOrder> = z.object({
  fence: z.int().positive(),
  id: z.int().positive(),
  model: id,
  modelVersion: id,
});

/** See OrderCheck. */
export const orderCheck: z.ZodType<OrderCheck> = z.object({targetId: id});

/** Parameters of methods that take none. */
export const noParams = z.object({}).optional();
