/** A short public name for a shared secret, to distinguish it from another. */

import {createHash} from 'node:crypto';

/** Too short to confirm a guess at the secret. */
const HEX_DIGITS = 4;

/** Safe to send before the peer has proved that it holds the secret. */
export function keyName(secret: string): string {
  return createHash('sha256')
    .update(`key name of ${secret}`)
    .digest('hex')
    .slice(0, HEX_DIGITS);
}
