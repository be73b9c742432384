/** Messages between nodes; validated once where they come in. */

import * as z from 'zod';
import type {TargetRecord} from '../site/announcement';

const COUNT = z.number().nonnegative();
const TEXT = z.string();

/** Names of the methods on the internal port. */
export const NODE_METHODS = {
  hello: 'hello',
  log: 'log',
  sync: 'sync',
  propose: 'propose',
  readSite: 'readSite',
} as const;

/** A node as others know it. */
export const NODE_INFO = z.object({
  ip: TEXT,
  /** Whether it has a disk, and so takes part in the log. */
  hasDisk: z.boolean(),
  /** Absent when it is not known, as of a node of an older version. */
  availabilityZone: TEXT.optional(),
});
/** A node as others know it. */
export type NodeInfo = z.infer<typeof NODE_INFO>;

/** Says who asks; the answer tells who is known. */
export const HELLO_PARAMS = z.object({from: NODE_INFO});

/** Answer to a hello. */
export const HELLO_REPLY = z.object({
  self: NODE_INFO,
  nodes: z.array(NODE_INFO),
  leader: TEXT.optional(),
});
/** Answer to a hello. */
export type HelloReply = z.infer<typeof HELLO_REPLY>;

const GROUP_MEMBERSHIP = z.object({
  name: TEXT,
  epoch: z.number(),
  rank: z.number(),
  size: z.number(),
  open: z.boolean(),
});

/** A target as nodes tell each other. */
export const TARGET_RECORD: z.ZodType<TargetRecord> = z.object({
  id: TEXT,
  bornMs: z.number(),
  sequence: z.number(),
  service: TEXT,
  address: TEXT,
  availabilityZone: TEXT,
  slots: z.number(),
  state: z.enum(['ready', 'draining', 'silent', 'gone']),
  coldMs: z.number(),
  group: GROUP_MEMBERSHIP.optional(),
});

/** What one node sees of one service. */
export const SERVICE_LOAD = z.object({
  service: TEXT,
  /** Requests at targets now. */
  inFlight: COUNT,
  waiting: COUNT,
  /** Requests taken from callers since the last report. */
  arrivals: COUNT,
  /** Requests at each target now, by its id. */
  byTarget: z.record(TEXT, COUNT),
  /** Length of a pass by group, milliseconds; only where streams run. */
  pacesMs: z.record(TEXT, COUNT),
});
/** What one node sees of one service. */
export type ServiceLoad = z.infer<typeof SERVICE_LOAD>;

/** A node's regular report to the leader. */
export const SYNC_PARAMS = z.object({
  from: NODE_INFO,
  /** Changes with each start of the node. */
  bootId: TEXT,
  siteVersion: z.number(),
  /** Revision of the target table that the node has of this leader. */
  tableRevision: z.number(),
  /** Term whose table that is. */
  tableTerm: z.number(),
  /** Revision of the list of nodes that it has of this leader. */
  nodesRevision: z.number().optional(),
  /** Records that the node heard of itself, or all it has when the term is new. */
  records: z.array(TARGET_RECORD),
  loads: z.array(SERVICE_LOAD),
});
/** A node's regular report to the leader. */
export type SyncParams = z.infer<typeof SYNC_PARAMS>;

/** What one node may use of one service. */
export const SERVICE_GRANT = z.object({
  service: TEXT,
  /** Requests that the node may have at targets at once. */
  concurrency: COUNT,
  /** Places of the service that no node wants now. */
  free: COUNT,
  /** What bounds the group that is bound most, for logs. */
  boundBy: TEXT.optional(),
  /** Requests that it may have at each target, by its id; absent: as before. */
  permits: z.record(TEXT, COUNT).optional(),
  /** Skew of the ranks' load right after recent shifts, by group. */
  shiftSkews: z.record(TEXT, COUNT),
});
/** What one node may use of one service. */
export type ServiceGrant = z.infer<typeof SERVICE_GRANT>;

/** The leader's answer to a report. */
export const SYNC_REPLY = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('notLeader'), leader: TEXT.optional()}),
  z.object({
    kind: z.literal('state'),
    term: z.number(),
    /** Index of the log that the replicated parts show. */
    index: z.number(),
    /** Empty while the node has this revision of the list. */
    nodes: z.array(NODE_INFO),
    nodesRevision: z.number().optional(),
    siteVersion: z.number(),
    /** Only when the node has an older one. */
    packedSite: TEXT.optional(),
    zonesOut: z.array(TEXT),
    tableRevision: z.number(),
    records: z.array(TARGET_RECORD),
    grants: z.array(SERVICE_GRANT),
    /** Nodes that serve callers now. */
    activeNodes: z.number(),
  }),
]);
/** The leader's answer to a report. */
export type SyncReply = z.infer<typeof SYNC_REPLY>;
/** The leader's view. */
export type SyncState = Extract<SyncReply, {kind: 'state'}>;

/** A change for the log, as operators order it. */
export const PROPOSE_PARAMS = z.object({
  command: z.discriminatedUnion('kind', [
    z.object({kind: z.literal('site'), version: z.number(), packed: TEXT}),
    z.object({
      kind: z.literal('zone'),
      availabilityZone: TEXT,
      out: z.boolean(),
    }),
  ]),
});
/** A change for the log, as operators order it. */
export type OperatorCommand = z.infer<typeof PROPOSE_PARAMS>['command'];

/** Answer to a proposal. */
export const PROPOSE_REPLY = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('notLeader'), leader: TEXT.optional()}),
  z.object({kind: z.literal('committed')}),
]);

/** Asks for the newest document, proven by a quorum. */
export const READ_SITE_PARAMS = z.object({heldVersion: z.number()});

/** The newest document. */
export const READ_SITE_REPLY = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('notLeader'), leader: TEXT.optional()}),
  z.object({
    kind: z.literal('site'),
    version: z.number(),
    /** Absent when the asker holds this version. */
    packed: TEXT.optional(),
  }),
]);
