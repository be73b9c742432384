/**
 * Site documents repeat themselves and travel often: between the instances of
 * the log and to every node. Deflated they take about a tenth of the bytes.
 */

import {deflateRawSync, inflateRawSync} from 'node:zlib';

/** Level 1 costs a third of the default's time at nearly the same size. */
const LEVEL = 1;

/** Packs a text for messages and the log. */
export function packText(text: string): string {
  return deflateRawSync(text, {level: LEVEL}).toString('base64');
}

/** The text that was packed. */
export function unpackText(packed: string): string {
  return inflateRawSync(Buffer.from(packed, 'base64')).toString('utf8');
}
