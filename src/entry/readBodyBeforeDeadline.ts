/** Reads the body of a caller's request until the deadline of the call. */

import type {IncomingMessage} from 'node:http';
import type {CallContext} from '../core/callContext';
import {refuse} from '../core/refusal';
import {readBody} from '../core/upstream';

/**
 * Resolves like `readBody`; rejects with a RefusalError when the body is late
 * or breaks off. Without the timeout, a body that never ends would keep its
 * request and the bytes received so far in memory for as long as the caller
 * likes.
 */
export async function readBodyBeforeDeadline(
  req: IncomingMessage,
  maxBytes: number,
  progress: CallContext,
  entryId: string
): Promise<Buffer | undefined> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<never>((_, reject) => {
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
  // After a timeout this promise is still pending. It settles when the
  // connection closes, and its error is ignored.
  read.catch(() => undefined);
  try {
    return await Promise.race([read, timeout]);
  } finally {
    clearTimeout(timer);
  }
}
