/** Whether the head of a response that was received is one that can be relayed. */

import type {IncomingMessage} from 'node:http';
import {framingOf} from './bodyFraming';

const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;
/** Characters that a reason phrase may have (RFC 9112, section 4). */
const REASON_PHRASE = /^[\t\x20-\x7e\x80-\xff]*$/;

/**
 * Why the response is none by HTTP, although Node's parser accepted it; undefined for a
 * sound one. Node's writer refuses such a head with an exception.
 */
export function responseHeadProblem(res: IncomingMessage): string | undefined {
  const {statusCode = 0, statusMessage = ''} = res;
  if (statusCode < FIRST_FINAL_STATUS || statusCode > LAST_STATUS)
    return `status ${statusCode}`;
  if (!REASON_PHRASE.test(statusMessage)) return 'invalid reason phrase';
  if (framingOf(res) === 'unsupported') return 'unknown transfer coding';
  return undefined;
}
