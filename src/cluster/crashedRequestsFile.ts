/** Keeps the requests under which targets crashed on disk. */

import * as z from 'zod';
import type {Logger} from '../core/logger';
import type {CrashedRequests} from './crashedRequests';
import {REQUEST_NOTICE} from './crashNotices';
import {HintFile} from './hintFile';

const SCHEMA = z.object({requests: z.array(REQUEST_NOTICE).readonly()});
const SAVE_INTERVAL_MS = 100;

/** Restores what was saved, then saves each change. */
export async function keepCrashedRequests(
  folder: string,
  crashedRequests: CrashedRequests,
  logger: Logger
): Promise<void> {
  const file = new HintFile({
    folder,
    name: 'crashed-requests',
    schema: SCHEMA,
    intervalMs: SAVE_INTERVAL_MS,
    logger,
  });
  const saved = await file.read();
  if (saved !== undefined)
    crashedRequests.restore(saved.content.requests, saved.ageMs);
  crashedRequests.changed$.subscribe(() =>
    file.save(() => ({requests: crashedRequests.list()}))
  );
}
