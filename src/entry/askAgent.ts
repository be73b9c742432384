/** Asks the agent that a claim was bound to what became of it. */

import {PeerError} from '../core/errors';
import type {Announcement} from '../core/wire';
import {FenceClaimAnswer, FenceClaimRequest, METHODS} from '../rpc/messages';
import {PeerClient} from '../rpc/peerClient';
import type {EntryCore} from './entryCore';

const ASK_TIMEOUT_MS = 2_000;

/** Undefined when the agent cannot be asked, so that nothing is known. */
export async function askAgent(
  core: EntryCore,
  target: Announcement,
  request: FenceClaimRequest
): Promise<FenceClaimAnswer | undefined> {
  const {targetId: id, host, port} = target;
  const client = new PeerClient({id, host, port}, core.keptAgent);
  try {
    return await client.call<FenceClaimAnswer>(
      METHODS.fenceClaim,
      request,
      ASK_TIMEOUT_MS
    );
  } catch (err) {
    if (err instanceof PeerError) return undefined;
    throw err;
  }
}
