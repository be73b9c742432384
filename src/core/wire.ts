/** Messages between our processes, and the limits of the internal protocol. */

import type {Refusal} from './refusal';

/** Header with the Dispatch, entry to agent. */
export const DISPATCH_HEADER = 'marlpulley-dispatch';
/** Header with the DispatchReport, agent to entry. */
export const REPORT_HEADER = 'marlpulley-report';

/** How far a target is in its cold start. */
export type Temperature = 'cold' | 'warming' | 'warm';

/** A rank's place in its group, and the group's shape. */
export interface GroupMember {
  readonly id: string;
  readonly rank: number;
  readonly ranks: number;
  /** Experts of a layer. */
  readonly experts: number;
  /** Slots of all ranks together. */
  readonly slots: number;
}

/** What a target's agent tells of itself with every poll. */
export interface Announcement {
  readonly targetId: string;
  readonly pool: string;
  readonly availabilityZone: string;
  /** Address of the agent, where entries dispatch. */
  readonly host: string;
  readonly port: number;
  /** Random at each start of the agent. */
  readonly agentBootId: string;
  /** Time of the agent's start; a later boot replaces an earlier one. */
  readonly agentBootAtMs: number;
  /** Grows with every announcement of one boot. */
  readonly seq: number;
  readonly state: 'serving' | 'leaving';
  readonly temperature: Temperature;
  /** Requests that the target may run at once now. */
  readonly limit: number;
  readonly outstanding: number;
  readonly queued: number;
  /** For engines. */
  readonly model?: string;
  readonly modelVersion?: string;
  /** Group of ranks and place in it. */
  readonly group?: GroupMember;
  /** Tokens in work and waiting, as the target last reported. */
  readonly tokensInWork?: number;
  /** Milliseconds since the target made its last load report. */
  readonly loadAgeMs?: number;
  /** Step time now over the usual one, at least 1; absent for 1. */
  readonly slowdown?: number;
  /** Recently cached prompt prefixes, as short digests. */
  readonly prefixes?: readonly string[];
}

/** In place of an announcement that says what the last one said. */
export interface UnchangedAnnouncement {
  readonly targetId: string;
  readonly agentBootId: string;
  readonly seq: number;
}

/** What became of an announcement that the receiver holds. */
export interface AnnouncementUpdate {
  readonly targetId: string;
  readonly set: Partial<Announcement>;
  /** Fields that are absent now. */
  readonly unset?: readonly (keyof Announcement)[];
}

/** Replaces `removed` lines, from line `at` (from 0), by `added`. */
export interface LineChange {
  readonly at: number;
  readonly removed: number;
  readonly added: readonly string[];
}

/** The way from one rule file to another. */
export interface RuleDiff {
  readonly fromRevision: number;
  readonly toRevision: number;
  /** SHA-256 of the text to apply it to, hex. */
  readonly fromDigest: string;
  /** SHA-256 of the text that must come out, hex. */
  readonly toDigest: string;
  /** From the last line to the first, so that each leaves the rest in place. */
  readonly changes: readonly LineChange[];
}

/** What an entry or agent asks every control instance, over and over. */
export interface PollRequest {
  readonly processId: string;
  readonly role: 'entry' | 'agent';
  readonly bootId: string;
  readonly heldRevision: number;
  /** It may be told newer rules by their difference to those it holds. */
  readonly takesDiff?: boolean;
  /** From agents: whole, or by number when only that grew. */
  readonly announcement?: Announcement;
  readonly unchanged?: UnchangedAnnouncement;
  /** Membership version held from this very instance and boot. */
  readonly membership?: {readonly bootId: string; readonly version: number};
  /** Targets of each pool that the entry follows; all of them when absent. */
  readonly subset?: number;
  /** Use counted since the start of this boot, from entries. */
  readonly usage?: readonly CustomerUsage[];
  /** Only rows that changed; the instance holds the others. */
  readonly usagePart?: boolean;
  readonly availabilityZone: string;
  /** Milliseconds since its rules were last proven current, if ever. */
  readonly provenAgeMs?: number;
}

/** Use by one customer, counted since the start of a boot. */
export interface CustomerUsage {
  readonly customer: string;
  readonly requests: number;
  readonly tokens: number;
  readonly queueMs: number;
}

/** What a control instance answers to a poll, for itself alone. */
export interface PollAnswer {
  readonly instanceId: string;
  readonly bootId: string;
  /** Whether this instance votes; only voters count towards a proof. */
  readonly voter: boolean;
  readonly voterCount: number;
  readonly term: number;
  /** The leader of that term, where known. */
  readonly leaderId?: string;
  /**
   * Highest revision anywhere in its log, committed or not. A process that
   * hears from a majority of voters that none holds more than it does itself
   * knows that nothing newer had been accepted when it asked.
   */
  readonly lastRevision: number;
  /** The committed rules, when newer than held. */
  readonly rules?: {readonly revision: number; readonly text: string};
  /** The same as a difference, in place of `rules`. */
  readonly rulesDiff?: RuleDiff;
  /**
   * To agents: whether it lacks what was called unchanged. An instance that does
   * not say is told everything whole.
   */
  readonly announceAgain?: boolean;
  /** To a report of use: whether it lacks the rows that were not sent. */
  readonly usageAgain?: boolean;
  readonly members?: MembersAnswer;
}

/** Announcements changed since the held version; all, when `full`. */
export interface MembersAnswer {
  readonly version: number;
  readonly full?: boolean;
  readonly changed?: readonly Announcement[];
  /** The same as `changed`, for those that the entry holds. */
  readonly updated?: readonly AnnouncementUpdate[];
  readonly removed?: readonly string[];
}

/** What an entry tells an agent about a request. */
export interface Dispatch {
  readonly requestId: string;
  readonly entryId: string;
  readonly customer: string;
  readonly pool: string;
  /** Revision of the entry's rules; an agent that holds less refuses. */
  readonly revision: number;
  readonly remainingMs: number;
  readonly attempt: number;
  /** Estimated cost: prompt and expected output tokens, or 1 for a service. */
  readonly cost: number;
  readonly idempotent: boolean;
  /** The agent's boot that the entry chose; another boot refuses. */
  readonly agentBootId: string;
  /** For non-idempotent calls with a key. */
  readonly claim?: {readonly key: string; readonly attempt: number};
  /** For a stream that goes on: tokens already delivered. */
  readonly resumeFrom?: number;
  /** Whether the answer comes as a token stream. */
  readonly stream?: boolean;
  readonly priority: number;
}

/** What the agent tells the entry beside every answer. */
export interface DispatchReport {
  readonly targetId: string;
  readonly agentBootId: string;
  readonly revision: number;
  readonly temperature: Temperature;
  readonly limit: number;
  readonly outstanding: number;
  readonly queued: number;
  readonly queuedMs: number;
  /** Present when the agent refused; the target has then seen nothing. */
  readonly refusal?: Refusal;
}
