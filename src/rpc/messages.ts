/** Methods between our processes, and the schemas that validate them. */

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
const count = z.number().nonnegative();

const announcement: z.ZodType<Announcement> = z.object({
  targetId: id,
  pool: id,
  availabilityZone: id,
  host: id,
  port: z.int().min(1).max(65535),
  agentBootId: id,
  agentBootAtMs: count,
  seq: z.int().nonnegative(),
  state: z.enum(['serving', 'leaving']),
  temperature: z.enum(['cold', 'warming', 'warm']),
  limit: count,
  outstanding: count,
  queued: count,
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
  tokensInWork: count.optional(),
  slowdown: count.optional(),
  loadAgeMs: count.optional(),
  prefixes: z.array(z.string()).max(4096).optional(),
});

const usage: z.ZodType<CustomerUsage> = z.object({
  customer: id,
  requests: count,
  tokens: count,
  queueMs: count,
});

/** See PollRequest. */
export const pollRequest: z.ZodType<PollRequest> = z.object({
  processId: id,
  role: z.enum(['entry', 'agent']),
  bootId: id,
  availabilityZone: id,
  heldRevision: z.int().nonnegative(),
  takesDiff: z.boolean().optional(),
  provenAgeMs: count.optional(),
  announcement: announcement.optional(),
  unchanged: z
    .object({targetId: id, agentBootId: id, seq: z.int().nonnegative()})
    .optional(),
  membership: z.object({bootId: id, version: z.int()}).optional(),
  subset: z.int().positive().optional(),
  usage: z.array(usage).optional(),
  usagePart: z.boolean().optional(),
});

/** A rule file to put in force. */
export interface SubmitRequest {
  readonly text: string;
}

/** See SubmitRequest. */
export const submitRequest: z.ZodType<SubmitRequest> = z.object({
  text: z.string(),
});

/** A claim of a key for one dispatch, from an entry. */
export interface ClaimRequest {
  readonly customer: string;
  readonly key: string;
  /** SHA-256 over method, path and body, hex. */
  readonly digest: string;
  readonly entryId: string;
  /** A claim resent under the same request id is the same claim. */
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
});

const settlement: z.ZodType<Settlement> = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('answered'), answer: recordedAnswer}),
  z.object({kind: z.literal('not run')}),
  z.object({kind: z.literal('unknown')}),
]);

/** Asks what is on record of a key. */
export type LookupRequest = Pick<ClaimRequest, 'customer' | 'key' | 'digest'>;

/** See LookupRequest. */
export const lookupRequest: z.ZodType<LookupRequest> = z.object({
  customer: id,
  key: id,
  digest: id,
});

/** How an attempt under a key ended. */
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

/** Asks an agent what became of a claim, and bars it if nothing did. */
export interface FenceClaimRequest {
  readonly customer: string;
  readonly key: string;
  readonly attempt: number;
  /** The boot that the claim was bound to. */
  readonly agentBootId: string;
}

/** See FenceClaimRequest. */
export const fenceClaimRequest: z.ZodType<FenceClaimRequest> = z.object({
  customer: id,
  key: id,
  attempt: z.int().positive(),
  agentBootId: id,
});

/** What an agent knows of a claim. */
export type FenceClaimAnswer =
  /** It has not run and never will: a later dispatch of it is refused. */
  | {readonly kind: 'fenced'}
  | {readonly kind: 'running'}
  /** It ran; its answer, where the agent still holds it. */
  | {readonly kind: 'ran'; readonly answer?: RecordedAnswer}
  /** Another boot answers; what the claim's own boot did is not known. */
  | {readonly kind: 'other boot'};

/** Asks a control instance for a target that the entry does not follow. */
export interface LocateRequest {
  readonly targetId: string;
}

/** See LocateRequest. */
export const locateRequest: z.ZodType<LocateRequest> = z.object({targetId: id});

/** What the instance has heard of it, if anything. */
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

/** For calls without parameters. */
export const noParams = z.object({}).optional();
