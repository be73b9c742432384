/** The parts of reports and replies that are about prompts which crash targets. */

import * as z from 'zod';
import {REQUEST_NOTICE} from './crashNotices';

const COUNT = z.number().nonnegative();
const TEXT = z.string();

/** A part of prompts in quarantine at a service. */
export const QUARANTINED_PART = z.object({
  service: TEXT,
  part: TEXT,
  /** Why: targets crashed under it, or an operator asked for it. */
  cause: z.enum(['crashes', 'operator']),
  /** Crashes under the part when the quarantine began. */
  crashes: COUNT,
  /** Time since it began, milliseconds. */
  ageMs: COUNT,
});
/** A part of prompts in quarantine at a service. */
export type QuarantinedPart = z.infer<typeof QUARANTINED_PART>;

/** A crash of a target under requests of the reporting node. */
export const CRASH_REPORT = z.object({
  service: TEXT,
  /** Unique for each boot of each target. */
  boot: TEXT,
  ageMs: COUNT,
  parts: z.array(TEXT),
});
/** A crash of a target under requests of the reporting node. */
export type CrashReport = z.infer<typeof CRASH_REPORT>;

/** How often the reporting node served requests with a part. */
export const SERVED_REPORT = z.object({
  service: TEXT,
  part: TEXT,
  /** Time since the last one was served, milliseconds. */
  ageMs: COUNT,
  count: COUNT,
});
/** How often the reporting node served requests with a part. */
export type ServedReport = z.infer<typeof SERVED_REPORT>;

/** What a node reports. */
export const QUARANTINE_REPORT = z.object({
  /** Crashes that the leader may not know; absent for none. */
  crashes: z.array(CRASH_REPORT).optional(),
  /** Suspects that the node served; absent for none. */
  served: z.array(SERVED_REPORT).optional(),
  /** Parts in quarantine of requests since the last report; absent for none. */
  refused: z.array(z.object({service: TEXT, part: TEXT})).optional(),
  /** Parts in quarantine that the leader may not know; absent for none. */
  held: z.array(QUARANTINED_PART).optional(),
});
/** What a node reports. */
export type QuarantineReport = z.infer<typeof QUARANTINE_REPORT>;

/** What the leader decided. */
export const QUARANTINE_STATE = z.object({
  parts: z.array(QUARANTINED_PART),
  /** Parts that may have caused crashes. */
  suspects: z.array(z.object({service: TEXT, part: TEXT, crashes: COUNT})),
  /**
   * Identifies the last change by an operator, or the leader's term before the first;
   * absent from a leader of an older version.
   */
  lastChange: TEXT.optional(),
});
/** What the leader decided. */
export type QuarantineState = z.infer<typeof QUARANTINE_STATE>;

/** What a node shows to operators. */
export const QUARANTINE_LIST = QUARANTINE_STATE.extend({
  /** Requests that were not served since a target crashed under them. */
  requests: z.array(REQUEST_NOTICE).default([]),
});
/** What a node shows to operators. */
export type QuarantineList = z.infer<typeof QUARANTINE_LIST>;

/** A change by an operator. */
export const QUARANTINE_CHANGE = z.object({
  kind: z.enum(['add', 'lift']),
  service: TEXT,
  part: TEXT,
  /**
   * The last change that the node knew before the operator sent this one; absent from a
   * node of an older version, whose changes are always applied.
   */
  seenChange: TEXT.optional(),
});
/** A change by an operator. */
export type QuarantineChange = z.infer<typeof QUARANTINE_CHANGE>;

/** Reply to a change. */
export const QUARANTINE_CHANGE_REPLY = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('notLeader'), leader: TEXT.optional()}),
  z.object({kind: z.literal('changed'), lastChange: TEXT.optional()}),
  /** It was overtaken by another one and changed nothing. */
  z.object({kind: z.literal('outdated')}),
]);
/** What became of a change that was sent to the leader. */
export type QuarantineChangeEnd = Exclude<
  z.infer<typeof QUARANTINE_CHANGE_REPLY>,
  {readonly kind: 'notLeader'}
>;
