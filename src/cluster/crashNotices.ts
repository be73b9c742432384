/** Messages by which nodes share the requests under which targets crashed. */

import * as z from 'zod';
import type {RequestEvidence} from '../policy/quarantine/crashCounts';

const AGE_MS = z.number().nonnegative();
const TEXT = z.string().min(1).max(256);

/** What one node tells another of a request; ages instead of times. */
export const REQUEST_NOTICE = z.object({
  digest: TEXT,
  service: TEXT,
  crashes: z.array(
    z.object({
      boot: TEXT,
      ageMs: AGE_MS,
      /** Time left of the caller's time limit, milliseconds; absent without one. */
      endsInMs: z.number().optional(),
    })
  ),
  /** Time since it was last served, milliseconds; absent for never. */
  servedAgeMs: AGE_MS.optional(),
});
/** What one node tells another of a request. */
export type RequestNotice = z.infer<typeof REQUEST_NOTICE>;

/** Notices for a node, and for those that it forwards them to. */
export const CRASH_NOTICES = z.object({
  notices: z.array(REQUEST_NOTICE),
  /** Addresses; absent for none. */
  forwardTo: z.array(TEXT).optional(),
  /** Whether the sender wants to know all requests. */
  wantsAll: z.boolean().optional(),
});
/** Notices for a node, and for those that it forwards them to. */
export type CrashNotices = z.infer<typeof CRASH_NOTICES>;

/** What the receiver knows beyond the notices. */
export const CRASH_NOTICES_REPLY = z.object({
  notices: z.array(REQUEST_NOTICE),
});
/** What the receiver knows beyond the notices. */
export type CrashNoticesReply = z.infer<typeof CRASH_NOTICES_REPLY>;

/** The notice of a request, with ages as of `nowMs`. */
export function toNotice(
  {digest, service, crashes, servedAtMs}: RequestEvidence,
  nowMs: number
): RequestNotice {
  const ageOf = (atMs: number) => Math.max(0, nowMs - atMs);
  return {
    digest,
    service,
    crashes: crashes.map(({boot, atMs, endsAtMs}) => ({
      boot,
      ageMs: ageOf(atMs),
      ...(endsAtMs === Infinity ? {} : {endsInMs: endsAtMs - nowMs}),
    })),
    ...(servedAtMs === -Infinity ? {} : {servedAgeMs: ageOf(servedAtMs)}),
  };
}

/** The evidence in a notice that arrived at `nowMs`. */
export function fromNotice(
  {digest, service, crashes, servedAgeMs = Infinity}: RequestNotice,
  nowMs: number
): RequestEvidence {
  return {
    digest,
    service,
    crashes: crashes.map(({boot, ageMs, endsInMs = Infinity}) => ({
      boot,
      atMs: nowMs - ageMs,
      endsAtMs: nowMs + endsInMs,
    })),
    servedAtMs: nowMs - servedAgeMs,
  };
}
