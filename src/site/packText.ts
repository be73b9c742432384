/**
 * Compression of site documents. They are repetitive and sent often: between the
 * replicas of the log and to every node.
 */

import {deflateRawSync, inflateRawSync} from 'node:zlib';

/**
 * Characters of a packed document. Nodes hold copies of it while they send it to all
 * others, and their calls to each other take 8 MiB.
 */
export const MAX_PACKED_CHARS = 3 << 20;

/** Favors speed: higher levels hardly reduce the size of repetitive texts. */
const DEFLATE_LEVEL = 1;

/** Compresses a text for messages and the log. */
export function packText(text: string): string {
  return deflateRawSync(text, {level: DEFLATE_LEVEL}).toString('base64');
}

/** Restores a text that `packText` compressed. */
export function unpackText(packed: string): string {
  return inflateRawSync(Buffer.from(packed, 'base64')).toString('utf8');
}
