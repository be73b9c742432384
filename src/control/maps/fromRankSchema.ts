/** Schema of the messages of ranks to control, checked once on arrival. */

import * as z from 'zod';
import type {FromRankMessage} from '../../core/mapMessages';

const COUNT = z.number().int().nonnegative();
const SWITCH_ID = {group: z.string(), fence: COUNT, version: COUNT};
const FROM = {group: z.string(), rank: COUNT};

/** Any message from a rank to control. */
export const FROM_RANK: z.ZodType<FromRankMessage> = z.discriminatedUnion(
  'kind',
  [
    z.object({kind: z.literal('promise'), ...SWITCH_ID, rank: COUNT}),
    z.object({kind: z.literal('decisionQuery'), ...SWITCH_ID, rank: COUNT}),
    z.object({
      kind: z.literal('refusal'),
      ...SWITCH_ID,
      rank: COUNT,
      reason: z.enum(['fenced', 'unready', 'busy', 'passed', 'load-failed']),
      knownFence: COUNT,
      step: COUNT,
    }),
    z.object({
      kind: z.literal('staged'),
      ...FROM,
      slot: COUNT,
      expert: COUNT,
      ok: z.boolean(),
    }),
    z.object({kind: z.literal('join'), ...FROM, attempt: z.string()}),
    z.object({
      kind: z.literal('expertCounts'),
      ...FROM,
      agentBootId: z.string(),
      seq: COUNT,
      step: COUNT,
      ageMs: z.number().nonnegative(),
      counts: z.array(z.number().nonnegative()),
    }),
  ]
);
