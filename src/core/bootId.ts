/** Identifies one boot of a process. */

import {randomBytes} from 'node:crypto';

/** 72 bits: collisions are negligible, and a third of a UUID's length. */
const BYTES = 9;

/** Returns a random id, short because each poll carries three of them. */
export function newBootId(): string {
  return randomBytes(BYTES).toString('base64url');
}
