/** Reads the whole body of a target's response. */

import type {IncomingMessage} from 'node:http';

/** The body; undefined when the response ended before it was complete. */
export function readResponseBody(
  res: IncomingMessage
): Promise<Buffer | undefined> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    res.on('data', (chunk: Buffer) => chunks.push(chunk));
    // `complete` is false when the connection closed before the end of the body.
    res.on('end', () =>
      resolve(res.complete ? Buffer.concat(chunks) : undefined)
    );
    res.on('error', () => resolve(undefined));
    res.on('close', () => resolve(undefined));
  });
}
