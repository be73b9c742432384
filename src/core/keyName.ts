/** A short name by which two shared secrets are told apart. */

import {createHash} from 'node:crypto';

/** Too short to confirm a guess at the secret. */
const HEX_DIGITS = 4;

/** What a process may tell of its key before the peer proved to hold it. */
export function keyName(secret: string): string {
  return createHash('sha256')
    .update(`key name of ${secret}`)
    .digest('hex')
    .slice(0, HEX_DIGITS);
}
