/**
 * Responses of the soak's targets: plain or in events, with any framing, whole or broken
 * off anywhere; and the check of what reaches a caller.
 */

import type http from 'node:http';
import {leaveEndUnmarked} from '../../src/core/responseEnd';
import type {SoakAnswer} from './send';

/** Part of the responses that have neither a length nor chunks. */
const UNMARKED_SHARE = 0.3;
/** Part of the responses that a target breaks off, between two pieces or in one. */
const BROKEN_SHARE = 0.08;
/** Part of those that are reset, and part that ends inside a piece. */
const RESET_SHARE = 0.4;
const INSIDE_PIECE_SHARE = 0.4;
const EVENT_COUNT = 6;
const EVENT_INTERVAL_MS = 4;

/** The pieces of the response to a request. */
export function piecesOf(id: string, isStream: boolean): readonly string[] {
  if (!isStream) return [`served ${id}`];
  return Array.from(
    {length: EVENT_COUNT},
    (_, i) => `id: ${i + 1}\ndata: ${id} ${i + 1}\n\n`
  );
}

/**
 * Writes the pieces from the index `from` on, in a framing and to an end drawn at random.
 * Resolves with whether nothing shows the gateway that pieces are missing.
 */
export async function writeResponse(
  res: http.ServerResponse,
  pieces: readonly string[],
  from: number,
  random: () => number
): Promise<boolean> {
  const isUnmarked = random() < UNMARKED_SHARE;
  const isBroken = random() < BROKEN_SHARE;
  const end = isBroken
    ? from + Math.floor(random() * (pieces.length - from))
    : pieces.length;
  const isInsidePiece = random() < INSIDE_PIECE_SHARE;
  const isReset = random() < RESET_SHARE;
  if (isUnmarked) leaveEndUnmarked(res);
  res.flushHeaders();
  for (const piece of pieces.slice(from, end)) {
    res.write(piece);
    await new Promise(resolve => setTimeout(resolve, EVENT_INTERVAL_MS));
  }
  if (!isBroken) {
    res.end();
    return false;
  }
  const next = pieces[end] ?? '';
  if (isInsidePiece) res.write(next.slice(0, next.length / 2));
  if (isReset) res.socket?.resetAndDestroy();
  else if (isUnmarked) res.end();
  else res.destroy();
  const isSeenInPiece = isInsidePiece && pieces.length > 1;
  return isUnmarked && !isReset && !isSeenInPiece;
}

/** What a caller read to the end that its connection had in order. */
export type SoakBody =
  | {readonly kind: 'whole'}
  /** Nothing marks the end, and whole events or bytes are missing before it. */
  | {readonly kind: 'shortened'}
  | {readonly kind: 'wrong'; readonly detail: string};

/**
 * Checks a body. A marked end promises the whole body. An unmarked one promises whole
 * events only, since a target may have closed the connection after any of them.
 */
export function checkBody(
  answer: SoakAnswer,
  pieces: readonly string[]
): SoakBody {
  const whole = pieces.join('');
  if (answer.body === whole) return {kind: 'whole'};
  if (answer.isEndMarked)
    return {kind: 'wrong', detail: `framed as complete: ${answer.body}`};
  const isPart = whole.startsWith(answer.body);
  const isStream = pieces.length > 1;
  const endsInEvent = isStream && !answer.body.endsWith('\n\n');
  return isPart && !endsInEvent
    ? {kind: 'shortened'}
    : {kind: 'wrong', detail: `not whole: ${answer.body}`};
}
