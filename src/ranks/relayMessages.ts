/** Calls to ranks that one node passes on for another; validated where they come in. */

import * as z from 'zod';

const TEXT = z.string();
const MAX_LIMIT_MS = 10_000;

/** Name of the method on the internal port. */
export const RELAY_METHOD = 'relayToRanks';

/** The same call to several ranks. */
export const RELAY_PARAMS = z.object({
  method: z.enum(['GET', 'POST']),
  path: TEXT,
  /** Packed by `packText`. */
  packedBody: TEXT.optional(),
  /** HOST:PORT */
  addresses: z.array(TEXT),
  /** For each rank, milliseconds. */
  limitMs: z.number().positive().max(MAX_LIMIT_MS),
});
/** The same call to several ranks. */
export type RelayParams = z.infer<typeof RELAY_PARAMS>;

/** Answers in the order of the addresses; null where none came. */
export const RELAY_REPLY = z.object({
  answers: z.array(
    z.object({status: z.number(), text: TEXT, tookMs: z.number()}).nullable()
  ),
});
/** Answers in the order of the addresses; null where none came. */
export type RelayReply = z.infer<typeof RELAY_REPLY>;
