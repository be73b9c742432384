/** Claims and settles idempotency keys for entries. */

import type {ClaimResult, LookupResult} from '../../core/claims';
import {
  ClaimRequest,
  LookupRequest,
  SettleRequest,
  claimRequest,
  lookupRequest,
  settleRequest,
} from '../../rpc/messages';
import type {RpcMethod} from '../../rpc/peerServer';
import type {ControlContext} from '../controlContext';
import type {SettleResult} from '../state/command';
import {proposeCommand, awaitReadBarrier} from './leaderCalls';

/** The `claim` method; repeating it with the same request id is safe. */
export function claimMethod({
  log,
}: ControlContext): RpcMethod<ClaimRequest, ClaimResult> {
  return {
    params: claimRequest,
    handle: async request => {
      const command = {kind: 'claim', ...request, atMs: Date.now()} as const;
      return (await proposeCommand(log, command)).result;
    },
  };
}

/** The `lookupClaim` method: a linearizable read of the record of a key. */
export function lookupMethod({
  log,
  state,
}: ControlContext): RpcMethod<LookupRequest, LookupResult> {
  return {
    params: lookupRequest,
    handle: async ({customer, key, digest}) => {
      await awaitReadBarrier(log);
      return state.claims.lookup(customer, key, digest);
    },
  };
}

/** The `settle` method; repeating it is safe. */
export function settleMethod({
  log,
}: ControlContext): RpcMethod<SettleRequest, SettleResult> {
  return {
    params: settleRequest,
    handle: async request =>
      (await proposeCommand(log, {kind: 'settle', ...request})).result,
  };
}
