/**
 * Messages for calls to ranks that one node relays for another, with
 * validation.
 */

import * as z from 'zod';

const TEXT = z.string();
const MAX_CALL_TIMEOUT_MS = 10_000;

/** Name of the method on the internal port. */
export const RELAY_METHOD = 'relayToRanks';

/** Request to make the same call to several ranks. */
export const RELAY_PARAMS = z.object({
  method: z.enum(['GET', 'POST']),
  path: TEXT,
  /** Packed by `packText`. */
  packedBody: TEXT.optional(),
  /** HOST:PORT */
  addresses: z.array(TEXT),
  /** Timeout of the call to each rank, milliseconds. */
  limitMs: z.number().positive().max(MAX_CALL_TIMEOUT_MS),
});
/** Request to make the same call to several ranks. */
export type RelayParams = z.infer<typeof RELAY_PARAMS>;

/** Responses in the order of the addresses; null where none arrived. */
export const RELAY_REPLY = z.object({
  answers: z.array(
    z.object({status: z.number(), text: TEXT, tookMs: z.number()}).nullable()
  ),
});
/** Responses in the order of the addresses; null where none arrived. */
export type RelayReply = z.infer<typeof RELAY_REPLY>;
