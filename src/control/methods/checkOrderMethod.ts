/** Lets an agent check that a model order is open before it applies it. */

import type {OrderCheck, OrderCheckAnswer} from '../../core/fleetMessages';
import {orderCheck} from '../../rpc/messages';
import type {RpcMethod} from '../../rpc/peerServer';
import type {ControlContext} from '../controlContext';
import {awaitReadBarrier} from './leaderCalls';

/**
 * The `checkOrder` method. The read is linearizable: a stale read could let a
 * superseded order pass.
 */
export function checkOrderMethod({
  log,
  state,
}: Pick<ControlContext, 'log' | 'state'>): RpcMethod<
  OrderCheck,
  OrderCheckAnswer
> {
  return {
    params: orderCheck,
    handle: async ({targetId}) => {
      await awaitReadBarrier(log);
      const {fleet} = state;
      return {fence: fleet.fence, openId: fleet.openOrderOf(targetId)?.id};
    },
  };
}
