/** Reads the idempotency key of a call that is not idempotent. */

import {refuse} from '../../core/refusal';
import type {ClassifiedCall} from '../call';

const KEY_HEADER = 'idempotency-key';
const MAX_KEY_LENGTH = 200;

/** Undefined for idempotent calls, and for a missing key that is optional. */
export function requireKey(
  entryId: string,
  {req, once}: ClassifiedCall
): string | undefined {
  if (once === undefined) return undefined;
  const key = req.headers[KEY_HEADER];
  if (typeof key !== 'string' || key === '') {
    if (once.key === 'optional') return undefined;
    throw refuse(
      'key-required',
      'classify',
      entryId,
      `${once.method} ${once.path} needs an Idempotency-Key`
    );
  }
  if (key.length > MAX_KEY_LENGTH) {
    throw refuse(
      'malformed-request',
      'classify',
      entryId,
      `a key has at most ${MAX_KEY_LENGTH} characters`
    );
  }
  return key;
}
