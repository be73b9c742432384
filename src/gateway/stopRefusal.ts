/** Refusal of a request that was cancelled before its response began. */

import {unreachable} from '../core/errors';
import type {GatewayRefusal} from '../ports/callerPort';
import {QUARANTINE_RETRY_MS} from './quarantineRefusal';
import type {RequestState} from './requestState';

/**
 * Retry-After when the deadline passed before any target may have run the
 * request. An earlier retry would only be refused again.
 */
export const EXPIRED_RETRY_MS = 150;

/** Nothing has run; another node can take the retry at once. */
export const STOPPING_REFUSAL = {kind: 'stopping', retryInMs: 50} as const;

/** The refusal; undefined if the caller is gone. */
export function stopRefusal({
  stopped,
  mayHaveRun,
}: RequestState): GatewayRefusal | undefined {
  switch (stopped) {
    case undefined:
    case 'callerGone':
      return undefined;
    case 'timedOut':
      return mayHaveRun
        ? {kind: 'timedOut'}
        : {kind: 'overloaded', retryInMs: EXPIRED_RETRY_MS};
    case 'quarantined':
      return mayHaveRun
        ? {kind: 'outcomeUnknown'}
        : {kind: 'quarantined', retryInMs: QUARANTINE_RETRY_MS};
    case 'stopping':
      return mayHaveRun ? {kind: 'outcomeUnknown'} : STOPPING_REFUSAL;
    default:
      return unreachable(stopped);
  }
}
