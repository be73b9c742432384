/** Reads the report that an agent adds to each response. */

import * as z from 'zod';
import type {RefusalReason, Step} from '../core/refusal';
import {REFUSALS} from '../core/refusal';
import type {DispatchReport} from '../core/wire';

const refusalSchema = z.object({
  reason: z.enum(Object.keys(REFUSALS) as [RefusalReason, ...RefusalReason[]]),
  step: z.string().transform(step => step as Step),
  peer: z.string(),
  detail: z.string(),
  retryAfterMs: z.number().optional(),
});

const reportSchema = z.object({
  targetId: z.string(),
  agentBootId: z.string(),
  revision: z.number(),
  temperature: z.enum(['cold', 'warming', 'warm']),
  limit: z.number(),
  outstanding: z.number(),
  queued: z.number(),
  queuedMs: z.number(),
  refusal: refusalSchema.optional(),
  endUnmarked: z.literal(true).optional(),
});

/** The report; undefined if the header is absent or not understood. */
export function readDispatchReport(
  header: string | readonly string[] | undefined
): DispatchReport | undefined {
  if (typeof header !== 'string') return undefined;
  try {
    return reportSchema.parse(JSON.parse(header));
  } catch {
    return undefined;
  }
}
