/** Sends a refusal to the caller. */

import type {ServerResponse} from 'node:http';
import {REFUSALS, Refusal} from '../core/refusal';
import {sendJson} from '../core/sendJson';
import {abortResponse} from '../core/responseEnd';

/**
 * Sends the refusal as a JSON body and as headers. If the head of a response
 * has already been sent, only the connection is cut.
 */
export function sendRefusal(
  res: ServerResponse,
  requestId: string,
  refusal: Refusal
): void {
  if (res.headersSent) {
    abortResponse(res);
    return;
  }
  const {reason, step, peer, detail, retryAfterMs} = refusal;
  const {status, outcome, retryable} = REFUSALS[reason];
  const headers: Record<string, string> = {
    'marlpulley-request-id': requestId,
    'marlpulley-reason': reason,
    'marlpulley-outcome': outcome,
    'marlpulley-retryable': String(retryable),
    'marlpulley-step': step,
    'marlpulley-peer': peer,
  };
  // The rest of the request body may never arrive, and a connection that is
  // kept open would wait for it.
  if (reason === 'body-timeout' || reason === 'timed-out')
    headers['connection'] = 'close';
  if (retryable && retryAfterMs !== undefined) {
    headers['retry-after'] = String(
      Math.max(1, Math.ceil(retryAfterMs / 1000))
    );
  }
  const error = {
    reason,
    outcome,
    retryable,
    step,
    peer,
    requestId,
    detail,
    retryAfterMs,
  };
  sendJson(res, status, {error}, headers);
}
