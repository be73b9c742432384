/** Validates messages from control to a rank on arrival. */

import * as z from 'zod';
import type {ToRankMessage} from '../../core/mapMessages';

const COUNT = z.number().int().nonnegative();
const MAP = z.object({
  slots: z.array(z.array(COUNT)),
  shares: z.array(z.array(z.number().min(0).max(1))),
});
const COMMITTED = z.object({version: COUNT, switchStep: COUNT, map: MAP});
const SWITCH_ID = {group: z.string(), fence: COUNT, version: COUNT};

/** Schema of all messages from control to a rank. */
export const TO_RANK_MESSAGE: z.ZodType<ToRankMessage> = z.discriminatedUnion(
  'kind',
  [
    z.object({
      kind: z.literal('prepare'),
      ...SWITCH_ID,
      switchStep: COUNT,
      map: MAP,
    }),
    z.object({
      kind: z.literal('decision'),
      ...SWITCH_ID,
      decision: z.enum(['commit', 'abort']),
    }),
    z.object({
      kind: z.literal('joinAnswer'),
      group: z.string(),
      attempt: z.string(),
      fence: COUNT,
      current: COMMITTED,
      previous: COMMITTED.optional(),
    }),
    z.object({
      kind: z.literal('stage'),
      group: z.string(),
      fence: COUNT,
      slot: COUNT,
      expert: COUNT,
    }),
  ]
);
