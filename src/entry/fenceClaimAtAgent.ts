/** Fences a claim at the agent that it is bound to. */

import {PeerError} from '../core/errors';
import type {Announcement} from '../core/wire';
import {FenceClaimAnswer, FenceClaimRequest, METHODS} from '../rpc/messages';
import {PeerClient} from '../rpc/peerClient';
import type {EntryCore} from './entryCore';

const FENCE_TIMEOUT_MS = 2_000;

/**
 * Returns what the agent knows of the claim. The agent bars the claim for good
 * if it has not run yet. Undefined when the agent cannot be reached.
 */
export async function fenceClaimAtAgent(
  core: EntryCore,
  target: Announcement,
  request: FenceClaimRequest
): Promise<FenceClaimAnswer | undefined> {
  const {targetId: id, host, port} = target;
  const client = new PeerClient({id, host, port}, core.keepAliveAgent);
  try {
    return await client.call<FenceClaimAnswer>(
      METHODS.fenceClaim,
      request,
      FENCE_TIMEOUT_MS
    );
  } catch (err) {
    if (err instanceof PeerError) return undefined;
    throw err;
  }
}
