/** Messages between nodes, validated once on receipt. */

import * as z from 'zod';
import type {TargetRecord} from '../site/announcement';
import {MAX_PACKED_CHARS} from '../site/packText';
import {QUARANTINE_REPORT, QUARANTINE_STATE} from './quarantineMessages';

const COUNT = z.number().nonnegative();
const TEXT = z.string();

/** Last order of each zone, by log index; absent from a node of an older version. */
const ZONE_REVISIONS = z.record(TEXT, COUNT).optional();

/** Names of the methods on the internal port. */
export const NODE_METHODS = {
  hello: 'hello',
  log: 'log',
  sync: 'sync',
  propose: 'propose',
  readSite: 'readSite',
  readCommitted: 'readCommitted',
  quarantine: 'quarantine',
  crashNotices: 'crashNotices',
} as const;

/** A node as others know it. */
export const NODE_INFO = z.object({
  ip: TEXT,
  /** Whether it has a disk, and so takes part in the log. */
  hasDisk: z.boolean(),
  /** Absent when not known, for example from a node of an older version. */
  availabilityZone: TEXT.optional(),
});
/** A node as others know it. */
export type NodeInfo = z.infer<typeof NODE_INFO>;

/** Introduces the sender; the reply lists the nodes that the receiver knows. */
export const HELLO_PARAMS = z.object({
  from: NODE_INFO,
  /** Whether the sender leads; absent from a node of an older version. */
  leads: z.boolean().optional(),
});

/** Position in the log of the committed state that a node has. */
export const COMMITTED_POSITION = z.object({
  /** Commit index of the leader's reply that brought the state. */
  index: COUNT,
  siteVersion: z.number(),
});
/** Position in the log of the committed state that a node has. */
export type CommittedPosition = z.infer<typeof COMMITTED_POSITION>;

/** Reply to a hello. */
export const HELLO_REPLY = z.object({
  self: NODE_INFO,
  nodes: z.array(NODE_INFO),
  leader: TEXT.optional(),
  /** Absent before the first, and from a node of an older version. */
  committed: COMMITTED_POSITION.optional(),
});
/** Reply to a hello. */
export type HelloReply = z.infer<typeof HELLO_REPLY>;

const GROUP_MEMBERSHIP = z.object({
  name: TEXT,
  epoch: z.number(),
  rank: z.number(),
  size: z.number(),
  open: z.boolean(),
});

/** A target record as exchanged between nodes. */
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
  rateLimit: COUNT.optional(),
  /** Absent for almost all, and from a node of an older version. */
  outlastedBornMs: COUNT.optional(),
});

/** Arrivals of one urgency and customer at one node since its last report. */
export const URGENCY_DEMAND = z.object({
  /** Text form of the urgency. */
  urgency: TEXT,
  /** Empty for callers without a key. */
  customer: TEXT,
  /** Requests, with those that were refused. */
  arrivals: COUNT,
  /** Cost of these requests in output tokens. */
  work: COUNT,
});
/** Arrivals of one urgency and customer at one node since its last report. */
export type UrgencyDemand = z.infer<typeof URGENCY_DEMAND>;

/** Load of one service at one node. */
export const SERVICE_LOAD = z.object({
  service: TEXT,
  /** Requests at targets now. */
  inFlight: COUNT,
  waiting: COUNT,
  /** Requests received from callers since the last report. */
  arrivals: COUNT,
  /** Requests at each target now, by target id. */
  byTarget: z.record(TEXT, COUNT),
  /** Pass duration by group, milliseconds; only for groups with streams. */
  pacesMs: z.record(TEXT, COUNT),
  /** Arrivals since the last report; only for prioritized services. */
  demand: z.array(URGENCY_DEMAND).optional(),
  /** Queued requests by urgency; only for prioritized services. */
  waitingByUrgency: z.record(TEXT, COUNT).optional(),
  /**
   * Moving average of the time from admission to end, milliseconds; only for
   * prioritized services.
   */
  serviceTimeMs: COUNT.optional(),
});
/** Load of one service at one node. */
export type ServiceLoad = z.infer<typeof SERVICE_LOAD>;

/** A node's report on a target that states a rate limit, or did. */
export const LIMIT_REPORT = z.object({
  /** Id of the target, and the boot that the report is about. */
  id: TEXT,
  bornMs: z.number(),
  /** Requests since the last report that no target could take without a token. */
  wanted: COUNT,
  /** Tokens that expired unused since the last report. */
  unused: COUNT,
  /** What a response to this node stated, if the leader may not know it. */
  evidence: z
    .object({
      /** Requests per second; null when the response stated no limit. */
      perSecond: COUNT.nullable(),
      /** Age of the statement at the time of the report, milliseconds. */
      maxAgeMs: COUNT,
      minAgeMs: COUNT,
    })
    .optional(),
});
/** A node's report on a target that states a rate limit, or did. */
export type LimitReport = z.infer<typeof LIMIT_REPORT>;

/** A node's regular report to the leader. */
export const SYNC_PARAMS = z.object({
  from: NODE_INFO,
  /** Changes with each start of the node. */
  bootId: TEXT,
  siteVersion: z.number(),
  /** Revision of the leader's target table that the node has. */
  tableRevision: z.number(),
  /** Term of the leader whose table that is. */
  tableTerm: z.number(),
  /** Revision of the leader's list of nodes that the node has. */
  nodesRevision: z.number().optional(),
  /**
   * Records from announcements to the node since its last report; all recent
   * ones after a change of the leader.
   */
  records: z.array(TARGET_RECORD),
  /** Whether the node reads `packedRecords`; absent from one of an older version. */
  readsPacked: z.boolean().optional(),
  loads: z.array(SERVICE_LOAD),
  /**
   * Time in which the arrivals of `loads` came, milliseconds: since the last report,
   * also one that was lost. Only beside `demand`; absent from the first report.
   */
  loadsMs: COUNT.optional(),
  /** Targets that state a rate limit; absent for none. */
  limits: z.array(LIMIT_REPORT).optional(),
  /** Targets that want nothing from the node: at rest, or leaving; absent for none. */
  closed: z.array(TEXT).optional(),
  /** Prompts that crash targets; absent for nothing. */
  quarantine: QUARANTINE_REPORT.optional(),
  /**
   * Earliest time of the report on the clock of the leader of `tableTerm`: that of
   * its last reply, plus what has passed since. Absent before the first reply.
   */
  leaderTimeMs: z.number().optional(),
});
/** A node's regular report to the leader. */
export type SyncParams = z.infer<typeof SYNC_PARAMS>;

const RATIO = z.number().min(0).max(1);

/** Part of the arrivals of one urgency that nodes admit. */
export const ADMISSION_RATIO = z.object({
  /** Text form of the urgency. */
  urgency: TEXT,
  ratio: RATIO,
  /** Ratios of the customers that differ from `ratio`, by name. */
  customers: z.record(TEXT, RATIO),
});
/** Part of the arrivals of one urgency that nodes admit. */
export type AdmissionRatio = z.infer<typeof ADMISSION_RATIO>;

/** What the leader grants one node of one service. */
export const SERVICE_GRANT = z.object({
  service: TEXT,
  /** Requests that the node may run at targets at once. */
  concurrency: COUNT,
  /** Concurrency of the service beyond the demand of all nodes. */
  free: COUNT,
  /** Reason for the limit of the most limited group, for logs. */
  boundBy: TEXT.optional(),
  /** Requests allowed at each target, by target id; unchanged when absent. */
  permits: z.record(TEXT, COUNT).optional(),
  /** Load skew of the ranks right after recent demand shifts, by group. */
  shiftSkews: z.record(TEXT, COUNT),
  /**
   * Admission ratios under overload; urgencies that are absent are admitted whole.
   * Absent when everything is admitted.
   */
  admission: z.array(ADMISSION_RATIO).optional(),
});
/** What the leader grants one node of one service. */
export type ServiceGrant = z.infer<typeof SERVICE_GRANT>;

/** Departure of one boot of a target. */
const DEPARTURE = z.object({
  targetId: TEXT,
  bornMs: z.number(),
  state: z.enum(['draining', 'gone']),
  sequence: z.number(),
});

/** The leader's reply to a report. */
export const SYNC_REPLY = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('notLeader'), leader: TEXT.optional()}),
  z.object({
    kind: z.literal('state'),
    term: z.number(),
    /** Commit index that the replicated fields reflect. */
    index: z.number(),
    /** Empty when the node has this revision of the list. */
    nodes: z.array(NODE_INFO),
    nodesRevision: z.number().optional(),
    siteVersion: z.number(),
    /** Only when the node has an older version. */
    packedSite: TEXT.optional(),
    zonesOut: z.array(TEXT),
    zoneRevisions: ZONE_REVISIONS,
    tableRevision: z.number(),
    records: z.array(TARGET_RECORD),
    /**
     * Departures in the log of which the leader has no record, for a node that had none
     * of its replies yet; absent from a leader of an older version.
     */
    departures: z.array(DEPARTURE).optional(),
    /** In place of `records`, compressed; only for a node that reads them. */
    packedRecords: TEXT.optional(),
    grants: z.array(SERVICE_GRANT),
    /**
     * Requests granted under the rate limits of targets, by target id; absent from a
     * leader of an older version.
     */
    tokens: z.record(TEXT, COUNT).optional(),
    /**
     * Parts of prompts that no node sends to targets; absent from a leader of an older
     * version.
     */
    quarantine: QUARANTINE_STATE.optional(),
    /** Time on the leader's clock, whole milliseconds. */
    leaderTimeMs: z.number().optional(),
    /**
     * Time since a quorum last confirmed that the leader has all that was committed,
     * milliseconds; absent from a leader of an older version.
     */
    provenAgeMs: COUNT.optional(),
    /** Nodes that serve callers now. */
    activeNodes: z.number(),
  }),
]);
/** The leader's reply to a report. */
export type SyncReply = z.infer<typeof SYNC_REPLY>;
/** The reply of a node that leads, with its view. */
export type SyncState = Extract<SyncReply, {kind: 'state'}>;

/** A change for the log, by an operator or by a target that leaves. */
export const PROPOSE_PARAMS = z.object({
  command: z.discriminatedUnion('kind', [
    z.object({
      kind: z.literal('site'),
      version: z.number(),
      packed: TEXT.max(MAX_PACKED_CHARS),
    }),
    z.object({
      kind: z.literal('zone'),
      availabilityZone: TEXT,
      out: z.boolean(),
      /** Absent from a node of an older version. */
      seenRevision: COUNT.optional(),
    }),
    DEPARTURE.extend({kind: z.literal('departure')}),
  ]),
});
/** A change for the log, by an operator or by a target that leaves. */
export type ProposedCommand = z.infer<typeof PROPOSE_PARAMS>['command'];

/** Committed state right after a change, without the document. */
export const STATE_AFTER_CHANGE = COMMITTED_POSITION.extend({
  zonesOut: z.array(TEXT),
  zoneRevisions: ZONE_REVISIONS,
});
/** Committed state right after a change, without the document. */
export type StateAfterChange = z.infer<typeof STATE_AFTER_CHANGE>;

/** Reply to a proposal. */
export const PROPOSE_REPLY = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('notLeader'), leader: TEXT.optional()}),
  z.object({
    kind: z.literal('committed'),
    /**
     * Absent if another document than the proposed one is in force, and from a leader
     * of an older version.
     */
    state: STATE_AFTER_CHANGE.optional(),
  }),
  /** The order was overtaken by another one and changed nothing. */
  z.object({kind: z.literal('outdated')}),
]);
/** What became of a change that was proposed to the leader. */
export type ProposalEnd = Exclude<
  z.infer<typeof PROPOSE_REPLY>,
  {readonly kind: 'notLeader'}
>;

/** Requests the newest site document, confirmed by a quorum. */
export const READ_SITE_PARAMS = z.object({heldVersion: z.number()});

/** Reply with the newest site document. */
export const READ_SITE_REPLY = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('notLeader'), leader: TEXT.optional()}),
  z.object({
    kind: z.literal('site'),
    version: z.number(),
    /** Absent when the requester has this version. */
    packed: TEXT.optional(),
  }),
]);

/** Requests the committed state that a node has, which may be outdated. */
export const READ_COMMITTED_PARAMS = z.object({heldVersion: z.number()});
/** Requests the committed state that a node has, which may be outdated. */
export type ReadCommittedParams = z.infer<typeof READ_COMMITTED_PARAMS>;

/** Reply with the committed state of one leader's reply. */
export const READ_COMMITTED_REPLY = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('none')}),
  COMMITTED_POSITION.extend({
    kind: z.literal('state'),
    /** Absent when the requester has this version. */
    packedSite: TEXT.optional(),
    zonesOut: z.array(TEXT),
    zoneRevisions: ZONE_REVISIONS,
  }),
]);
/** Reply with the committed state of one leader's reply. */
export type ReadCommittedReply = z.infer<typeof READ_COMMITTED_REPLY>;
/** Committed state of one leader's reply. */
export type CommittedState = Extract<ReadCommittedReply, {kind: 'state'}>;
