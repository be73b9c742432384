/** Reads the body of a caller's request until the deadline of the call. */

import type {IncomingMessage} from 'node:http';
import type {CallContext} from '../core/callContext';
import {unreachable} from '../core/errors';
import {readBody} from '../core/readBody';
import type {BodyRoom} from '../core/readBody';
import {refuse} from '../core/refusal';

/** Bounds of a caller's body at an entry. */
export interface CallerBodyLimits {
  readonly maxBytes: number;
  readonly progress: CallContext;
  readonly entryId: string;
  readonly room?: BodyRoom;
}

/** Rejects with a RefusalError when the body is late, too large or breaks off. */
export async function readBodyBeforeDeadline(
  req: IncomingMessage,
  {maxBytes, progress, entryId, room}: CallerBodyLimits
): Promise<Buffer> {
  const timeoutMs = progress.remainingMs();
  const read = await readBody(req, {maxBytes, room, timeoutMs});
  switch (read.kind) {
    case 'whole':
      return read.body;
    case 'tooLarge': {
      const detail = `more than ${maxBytes} bytes`;
      throw refuse('body-too-large', 'classify', entryId, detail);
    }
    case 'noRoom': {
      const detail = 'no memory is free for the body';
      throw refuse('overloaded', 'classify', entryId, detail);
    }
    case 'cut': {
      const detail = 'the body broke off';
      throw refuse('malformed-request', 'classify', entryId, detail);
    }
    case 'stopped': {
      const detail = 'the body did not end';
      throw refuse('body-timeout', 'classify', entryId, detail);
    }
    default:
      return unreachable(read);
  }
}
