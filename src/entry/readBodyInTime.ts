/** Reads the body of a caller's request, for no longer than its deadline. */

import type {IncomingMessage} from 'node:http';
import type {Progress} from '../core/progress';
import {refuse} from '../core/refusal';
import {readBody} from '../core/upstream';

/**
 * Resolves as `readBody` does. A body that never ends would otherwise hold its
 * request, and the memory of what came, for as long as the caller likes.
 */
export async function readBodyInTime(
  req: IncomingMessage,
  maxBytes: number,
  progress: Progress,
  entryId: string
): Promise<Buffer | undefined> {
  let timer: NodeJS.Timeout | undefined;
  const late = new Promise<never>((_, reject) => {
    timer = setTimeout(
      () =>
        reject(
          refuse('body-timeout', 'classify', entryId, 'the body did not end')
        ),
      progress.remainingMs()
    );
  });
  const read = readBody(req, maxBytes).catch((err: unknown) => {
    const detail = `the body broke off: ${String(err)}`;
    throw refuse('malformed-request', 'classify', entryId, detail);
  });
  // Still pending after the timeout; it ends with the connection.
  read.catch(() => undefined);
  try {
    return await Promise.race([read, late]);
  } finally {
    clearTimeout(timer);
  }
}
