/** Reads the body of a caller's request. */

import type {IncomingMessage} from 'node:http';

/** The body, or why it could not be read. */
export type BodyResult =
  | {readonly kind: 'body'; readonly body: Buffer}
  | {readonly kind: 'tooLarge'}
  /** The caller disconnected before the body was complete. */
  | {readonly kind: 'gone'};

/** Reads the body; `tooLarge` above `maxBytes`. */
export function readBody(
  req: IncomingMessage,
  maxBytes: number
): Promise<BodyResult> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    req.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes <= maxBytes) chunks.push(chunk);
      else resolve({kind: 'tooLarge'});
    });
    req.on('end', () =>
      resolve(
        req.complete
          ? {kind: 'body', body: Buffer.concat(chunks)}
          : {kind: 'gone'}
      )
    );
    req.on('error', () => resolve({kind: 'gone'}));
    req.on('close', () => resolve({kind: 'gone'}));
  });
}
