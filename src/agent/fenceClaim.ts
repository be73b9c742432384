/** Answers what became of a claim, so that nobody has to guess. */

import type {FenceClaimAnswer, FenceClaimRequest} from '../rpc/messages';
import type {AgentCore} from './agentCore';
import {claimIdOf} from './onceGuard';

/** Bars the claim for good if it has not run in this boot. */
export function fenceClaim(
  core: AgentCore,
  request: FenceClaimRequest
): FenceClaimAnswer {
  if (request.agentBootId !== core.agentBootId) return {kind: 'other boot'};
  const {customer, key, attempt} = request;
  return core.once.fence(claimIdOf(customer, key, attempt));
}
