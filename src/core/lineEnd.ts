/** Ends of lines in HTTP/1.x (RFC 9112, section 2.2). */

import {MalformedResponseError} from './malformedResponse';

/** Carriage return. */
export const CR = 0x0d;
/** Line feed. */
export const LF = 0x0a;

/**
 * Checks the byte after a CR. Recipients may also accept a bare CR or LF as the end of a
 * line, and those that do see other fields, or another body, than those that don't.
 */
export function requireLineFeed(byte: number): void {
  if (byte !== LF) throw new MalformedResponseError('CR without LF');
}
