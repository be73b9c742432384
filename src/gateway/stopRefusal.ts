/** What a request that was given up is answered. */

import type {GatewayRefusal} from '../ports/callerPort';
import type {RequestState} from './requestState';

/** Least time after which to come back; less would only be refused again. */
export const MIN_RETRY_MS = 150;

/** The answer; none when nobody is there for it. */
export function stopRefusal(state: RequestState): GatewayRefusal | undefined {
  if (state.stopped !== 'timedOut') return undefined;
  return state.mayHaveRun
    ? {kind: 'timedOut'}
    : {kind: 'overloaded', retryInMs: MIN_RETRY_MS};
}
