/** Messages between entries, agents and control instances. */

import type {Refusal} from './refusal';

/** Request header with the Dispatch, from entry to agent. */
export const DISPATCH_HEADER = 'marlpulley-dispatch';
/** Response header with the DispatchReport, from agent to entry. */
export const REPORT_HEADER = 'marlpulley-report';

/** Progress of a target's cold start. */
export type Temperature = 'cold' | 'warming' | 'warm';

/** A rank's position in its group, and the dimensions of the group. */
export interface GroupMember {
  /** Id of the group. */
  readonly id: string;
  /** Number of this rank, from 0. */
  readonly rank: number;
  /** Number of ranks in the group. */
  readonly ranks: number;
  /** Number of experts per layer. */
  readonly experts: number;
  /** Expert slots per layer, all ranks together. */
  readonly slots: number;
}

/** State of a target, which its agent sends with every poll. */
export interface Announcement {
  readonly targetId: string;
  readonly pool: string;
  readonly availabilityZone: string;
  /** Address of the agent, to which entries dispatch. */
  readonly host: string;
  readonly port: number;
  /** Random id of this boot of the agent. */
  readonly agentBootId: string;
  /** Start time of this boot; a later boot replaces an earlier one. */
  readonly agentBootAtMs: number;
  /** Grows with every announcement of one boot. */
  readonly seq: number;
  readonly state: 'serving' | 'leaving';
  readonly temperature: Temperature;
  /** Current concurrency limit of the target. */
  readonly limit: number;
  readonly outstanding: number;
  readonly queued: number;
  /** Engines only. */
  readonly model?: string;
  readonly modelVersion?: string;
  /** For a rank: its group and position. */
  readonly group?: GroupMember;
  /** Tokens of running and waiting requests, as the target last reported. */
  readonly tokensInWork?: number;
  /** Age of the target's last load report. */
  readonly loadAgeMs?: number;
  /** Current step time over the usual step time, at least 1; absent when 1. */
  readonly slowdown?: number;
  /** Digests of recently cached prompt prefixes. */
  readonly prefixes?: readonly string[];
}

/** Sent in place of an announcement whose content has not changed. */
export interface UnchangedAnnouncement {
  readonly targetId: string;
  readonly agentBootId: string;
  readonly seq: number;
}

/** Changes to an announcement that the receiver holds. */
export interface AnnouncementUpdate {
  readonly targetId: string;
  readonly set: Partial<Announcement>;
  /** Fields that are now absent. */
  readonly unset?: readonly (keyof Announcement)[];
}

/** Replaces `removed` lines, from line `at` (from 0), by `added`. */
export interface LineChange {
  readonly at: number;
  readonly removed: number;
  readonly added: readonly string[];
}

/** A line diff between two rule files. */
export interface RuleDiff {
  readonly fromRevision: number;
  readonly toRevision: number;
  /** SHA-256 of the base text, hex. */
  readonly fromDigest: string;
  /** SHA-256 of the resulting text, hex. */
  readonly toDigest: string;
  /**
   * Ordered from the last line to the first, so that earlier line numbers stay
   * valid.
   */
  readonly changes: readonly LineChange[];
}

/** Sent periodically by each entry and agent to every control instance. */
export interface PollRequest {
  readonly processId: string;
  readonly role: 'entry' | 'agent';
  readonly bootId: string;
  /** Revision of the rules that the process applies; 0 for none. */
  readonly heldRevision: number;
  /** Whether newer rules may be sent as a diff to that revision. */
  readonly takesDiff?: boolean;
  /** From agents: the whole announcement, or `unchanged` in its place. */
  readonly announcement?: Announcement;
  readonly unchanged?: UnchangedAnnouncement;
  /**
   * From entries: the member list that it holds from this boot of this
   * instance.
   */
  readonly membership?: {readonly bootId: string; readonly version: number};
  /** Number of targets per pool that the entry follows; absent for all. */
  readonly subset?: number;
  /** From entries: totals since the start of this boot. */
  readonly usage?: readonly CustomerUsage[];
  /** Whether `usage` has only the rows that the instance does not hold yet. */
  readonly usagePart?: boolean;
  readonly availabilityZone: string;
  /**
   * Age of the proof that its rules are current; absent without a valid proof.
   */
  readonly provenAgeMs?: number;
}

/** Usage of one customer, counted since the start of a boot. */
export interface CustomerUsage {
  readonly customer: string;
  readonly requests: number;
  readonly tokens: number;
  readonly queueMs: number;
}

/**
 * Reply of one control instance to a poll; reports that instance's own state.
 */
export interface PollAnswer {
  readonly instanceId: string;
  readonly bootId: string;
  /** Whether this instance is a voter; only voters count towards a proof. */
  readonly voter: boolean;
  readonly voterCount: number;
  readonly term: number;
  /** Leader of that term, if known. */
  readonly leaderId?: string;
  /**
   * Highest revision in its log, committed or not. If none of a majority of
   * voters has a higher revision than a process applies, nothing newer had been
   * accepted when the process sent the oldest of those polls.
   */
  readonly lastRevision: number;
  /** The committed rules, if newer than `heldRevision`. */
  readonly rules?: {readonly revision: number; readonly text: string};
  /** The same as a diff, in place of `rules`. */
  readonly rulesDiff?: RuleDiff;
  /**
   * To agents: whether the instance lacks the announcement that was sent as
   * unchanged. When absent, the agent always sends whole announcements.
   */
  readonly announceAgain?: boolean;
  /**
   * To a usage report: whether the instance lacks the rows that were not sent.
   */
  readonly usageAgain?: boolean;
  readonly members?: MembersAnswer;
}

/** Announcements that changed since the held version; all of them if `full`. */
export interface MembersAnswer {
  readonly version: number;
  readonly full?: boolean;
  readonly changed?: readonly Announcement[];
  /** Changed announcements of targets that the entry holds, as updates. */
  readonly updated?: readonly AnnouncementUpdate[];
  readonly removed?: readonly string[];
}

/** Sent by an entry to an agent with each request. */
export interface Dispatch {
  readonly requestId: string;
  readonly entryId: string;
  readonly customer: string;
  readonly pool: string;
  /** Revision of the entry's rules; an agent with an older one refuses. */
  readonly revision: number;
  readonly remainingMs: number;
  readonly attempt: number;
  /** Estimated cost: prompt and expected output tokens; 1 for a service. */
  readonly cost: number;
  readonly idempotent: boolean;
  /** The boot of the agent that the entry chose; another boot refuses. */
  readonly agentBootId: string;
  /** The claim of a non-idempotent call with a key. */
  readonly claim?: {readonly key: string; readonly attempt: number};
  /** For a resumed stream: number of tokens already delivered. */
  readonly resumeFrom?: number;
  /** Whether the response is a token stream. */
  readonly stream?: boolean;
  readonly priority: number;
}

/** Sent by the agent with every response to a Dispatch. */
export interface DispatchReport {
  readonly targetId: string;
  readonly agentBootId: string;
  readonly revision: number;
  readonly temperature: Temperature;
  readonly limit: number;
  readonly outstanding: number;
  readonly queued: number;
  readonly queuedMs: number;
  /** Present when the agent refused; the target then received nothing. */
  readonly refusal?: Refusal;
  /** Present when nothing but the end of the connection ended the target's body. */
  readonly endUnmarked?: true;
}
