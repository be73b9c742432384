/** Gives an entry a final result: whether a claim has run at this agent. */

import type {FenceClaimAnswer, FenceClaimRequest} from '../rpc/messages';
import type {AgentCore} from './agentCore';
import {claimIdOf} from './claimRegistry';

/** Fences the claim permanently if it has not started in this boot. */
export function fenceClaim(
  core: AgentCore,
  request: FenceClaimRequest
): FenceClaimAnswer {
  if (request.agentBootId !== core.agentBootId) return {kind: 'other boot'};
  const {customer, key, attempt} = request;
  return core.claimRegistry.fence(claimIdOf(customer, key, attempt));
}
