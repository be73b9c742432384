/** Turns a refusal into the answer that the caller gets. */

import type {ServerResponse} from 'node:http';
import {REFUSALS, Refusal} from '../core/refusal';
import {sendJson} from '../core/sendJson';
import {cutOff} from '../core/upstream';

/** Sends the typed body and the headers that say the same. */
export function answerRefusal(
  res: ServerResponse,
  requestId: string,
  refusal: Refusal
): void {
  if (res.headersSent) {
    cutOff(res);
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
  // The rest of the body may never come, and the connection would wait for it.
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
