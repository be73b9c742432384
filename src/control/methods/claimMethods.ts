/** Claims and settles idempotency keys for entries. */

import type {ClaimResult} from '../../core/claims';
import {
  ClaimRequest,
  SettleRequest,
  claimRequest,
  settleRequest,
} from '../../rpc/messages';
import type {RpcMethod} from '../../rpc/peerServer';
import type {ControlContext} from '../controlContext';
import type {SettleResult} from '../state/command';
import {proposeHere} from './leaderOnly';

/** The `claim` method; a resend under the same request id is the same claim. */
export function claimMethod({
  log,
}: ControlContext): RpcMethod<ClaimRequest, ClaimResult> {
  return {
    params: claimRequest,
    handle: async request => {
      const command = {kind: 'claim', ...request, atMs: Date.now()} as const;
      return (await proposeHere(log, command)).result;
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
      (await proposeHere(log, {kind: 'settle', ...request})).result,
  };
}
