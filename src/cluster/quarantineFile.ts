/** Keeps the parts of prompts in quarantine, and the evidence against others, on disk. */

import * as z from 'zod';
import type {Logger} from '../core/logger';
import {HintFile} from './hintFile';
import type {NodeQuarantine} from './nodeQuarantine';
import {
  CRASH_REPORT,
  QUARANTINED_PART,
  SERVED_REPORT,
} from './quarantineMessages';

const SCHEMA = z.object({
  parts: z.array(QUARANTINED_PART).readonly(),
  crashes: z.array(CRASH_REPORT).readonly().default([]),
  served: z.array(SERVED_REPORT).readonly().default([]),
});
const SAVE_INTERVAL_MS = 1_000;

/** Restores what was saved, then saves each change. */
export async function keepQuarantine(
  folder: string,
  quarantine: NodeQuarantine,
  logger: Logger
): Promise<void> {
  const file = new HintFile({
    folder,
    name: 'quarantine',
    schema: SCHEMA,
    intervalMs: SAVE_INTERVAL_MS,
    logger,
  });
  const saved = await file.read();
  const nowMs = performance.now();
  if (saved !== undefined)
    quarantine.restore(saved.content, nowMs - saved.ageMs, nowMs);
  quarantine.changed$.subscribe(() =>
    file.save(() => quarantine.evidence(performance.now()))
  );
}
