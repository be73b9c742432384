/** Whether a response belongs to an attempt, and may be relayed. */

import type {TargetHead} from '../ports/targetPort';
import type {RequestState} from './requestState';

/**
 * Whether the response may be relayed: it names this attempt, so that a late
 * response to another request is not relayed instead, its body has no content
 * encoding, and its status makes no promise that the target did not make.
 */
export function isRelayable(head: TargetHead, {caller}: RequestState): boolean {
  if (!head.isPlainBody) return false;
  if (head.readsAsNotRun && !head.notRun) return false;
  if (caller.attemptId === undefined) return true;
  return head.attemptId === caller.attemptId;
}

/** Whether the response is to this attempt, or names none. */
export function isResponseTo({attemptId}: TargetHead, {caller}: RequestState) {
  return attemptId === undefined || attemptId === caller.attemptId;
}
