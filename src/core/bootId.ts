/** Names one start of a process. */

import {randomBytes} from 'node:crypto';

/** 72 bits: enough to tell all starts apart, and a third of a UUID's length. */
const BYTES = 9;

/** Random; three of them travel with each poll, so they are short. */
export function newBootId(): string {
  return randomBytes(BYTES).toString('base64url');
}
