/**
 * Identity of a request over all tries of its caller, at any node. Each try has an
 * attempt id of its own, a shorter time limit and, when a stream resumes, another event
 * id; what it asks for stays the same.
 */

import {createHmac} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import type {CallerRequest} from '../ports/callerPort';

const DIGEST_LENGTH = 22;

/**
 * Digest of what a request asks for. The key of the caller keys it, so that nobody else
 * can tell from it what was asked.
 */
export function requestDigest(
  {method = 'GET', url = '/'}: Pick<IncomingMessage, 'method' | 'url'>,
  {host, key = '', contentHeaders}: CallerRequest,
  body: Buffer
): string {
  const head = JSON.stringify([method, host, url, ...contentHeaders]);
  return createHmac('sha256', key)
    .update(head)
    .update(body)
    .digest('base64url')
    .slice(0, DIGEST_LENGTH);
}
