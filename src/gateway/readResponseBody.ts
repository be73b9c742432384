/** Reads the body of a target's response, up to the bound of what may be held. */

import type {IncomingMessage} from 'node:http';
import {unreachable} from '../core/errors';
import {readBody} from '../core/readBody';
import type {HeldResponse} from './heldBytes';

/** What was read of a body. */
export type ResponseBody =
  | {readonly kind: 'whole'; readonly body: Buffer}
  /** The response ended before it was complete. */
  | {readonly kind: 'cut'}
  /** It exceeds the bound; what follows `begun` is not read yet. */
  | {readonly kind: 'large'; readonly begun: Buffer};

/** Reads until the end or the bound; a response that states a larger body is not read. */
export async function readResponseBody(
  res: IncomingMessage,
  held: HeldResponse
): Promise<ResponseBody> {
  const {maxBytes} = held;
  const read = await readBody(res, {maxBytes, room: held});
  switch (read.kind) {
    case 'whole':
      return read;
    case 'tooLarge':
    case 'noRoom':
      return {kind: 'large', begun: read.begun};
    case 'cut':
    case 'stopped':
      return {kind: 'cut'};
    default:
      return unreachable(read);
  }
}
