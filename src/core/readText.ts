/** Reads the body of an HTTP request as text. */

import type {IncomingMessage} from 'node:http';

/** Reads the whole body; rejects when it exceeds `maxBytes`. */
export async function readText(
  req: IncomingMessage,
  maxBytes: number
): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of req as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > maxBytes) throw new Error('the body is too large');
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}
