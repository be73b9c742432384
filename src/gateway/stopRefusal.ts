/** Refusal of a request that was cancelled before its response began. */

import type {GatewayRefusal} from '../ports/callerPort';
import type {RequestState} from './requestState';

/**
 * Retry-After when the deadline passed before any target may have run the
 * request. An earlier retry would only be refused again.
 */
export const EXPIRED_RETRY_MS = 150;

/** The refusal; undefined unless the deadline passed, as the caller is gone. */
export function stopRefusal(state: RequestState): GatewayRefusal | undefined {
  if (state.stopped !== 'timedOut') return undefined;
  return state.mayHaveRun
    ? {kind: 'timedOut'}
    : {kind: 'overloaded', retryInMs: EXPIRED_RETRY_MS};
}
