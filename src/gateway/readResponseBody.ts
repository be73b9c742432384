/** Reads the body of a target's response, up to the bound of what may be held. */

import type {IncomingMessage} from 'node:http';
import type {HeldResponse} from './heldBytes';

/** What was read of a body. */
export type ResponseBody =
  | {readonly kind: 'whole'; readonly body: Buffer}
  /** The response ended before it was complete. */
  | {readonly kind: 'cut'}
  /** It exceeds the bound; what follows `begun` is not read yet. */
  | {readonly kind: 'large'; readonly begun: readonly Buffer[]};

/** Reads until the end or the bound; a response that states a larger body is not read. */
export function readResponseBody(
  res: IncomingMessage,
  held: HeldResponse
): Promise<ResponseBody> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    const settle = (result: ResponseBody) => {
      res.off('data', onData);
      resolve(result);
    };
    const onData = (chunk: Buffer) => {
      chunks.push(chunk);
      if (held.add(chunk.length)) return;
      res.pause();
      settle({kind: 'large', begun: chunks});
    };
    const cut = () => settle({kind: 'cut'});
    res.on('error', cut);
    res.on('close', cut);
    if (!fits(res, held)) return settle({kind: 'large', begun: []});
    res.on('data', onData);
    // `complete` is false when the connection closed before the end of the body.
    res.on('end', () =>
      res.complete
        ? settle({kind: 'whole', body: Buffer.concat(chunks)})
        : cut()
    );
  });
}

function fits({headers}: IncomingMessage, held: HeldResponse): boolean {
  const stated = headers['content-length'];
  if (stated === undefined) return true;
  const isWithin = held.add(Number(stated));
  // The bytes are counted as they arrive.
  held.release();
  return isWithin;
}
