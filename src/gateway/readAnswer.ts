/** Reads a whole answer; one that ends early is none. */

import type {IncomingMessage} from 'node:http';

/** The body, or undefined when it did not come whole. */
export function readAnswer(res: IncomingMessage): Promise<Buffer | undefined> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    res.on('data', (chunk: Buffer) => chunks.push(chunk));
    // `complete` is false where the connection broke before the end.
    res.on('end', () =>
      resolve(res.complete ? Buffer.concat(chunks) : undefined)
    );
    res.on('error', () => resolve(undefined));
    res.on('close', () => resolve(undefined));
  });
}
