/** Refusal of a request that no target has served. */

import type {GatewayRefusal} from '../ports/callerPort';
import type {RequestState} from './requestState';
import type {TargetSelection} from './targetSelection';

/** All nodes learn of a lost target within a second. */
const NO_TARGET_RETRY_MS = 400;
/** A target's full queue has room again after a few passes. */
const REJECTED_RETRY_MS = 300;

/** Refuses a request after all attempts that were allowed; `sendCount` reached a target. */
export function unservedRefusal(
  {mayHaveRun}: RequestState,
  sendCount: number,
  targets: TargetSelection
): GatewayRefusal {
  if (mayHaveRun) return {kind: 'outcomeUnknown'};
  return sendCount > 0
    ? {kind: 'turnedAway', retryInMs: targets.retryInMs(REJECTED_RETRY_MS)}
    : {kind: 'noTarget', retryInMs: targets.retryInMs(NO_TARGET_RETRY_MS)};
}
