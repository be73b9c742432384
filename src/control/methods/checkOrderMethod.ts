/** Tells agents which order stands, before they let one through. */

import type {OrderCheck, OrderCheckAnswer} from '../../core/fleetMessages';
import {orderCheck} from '../../rpc/messages';
import type {RpcMethod} from '../../rpc/peerServer';
import type {ControlContext} from '../controlContext';
import {awaitReadBarrier} from './leaderOnly';

/** The `checkOrder` method: linearizable, or a late order could pass. */
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
