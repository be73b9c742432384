/** Finds a target for an entry that does not follow it. */

import {LocateAnswer, LocateRequest, locateRequest} from '../../rpc/messages';
import type {RpcMethod} from '../../rpc/peerServer';
import type {ControlContext} from '../controlContext';

/** The `locate` method: reads the local member table, leader or not. */
export function locateMethod({
  members,
}: ControlContext): RpcMethod<LocateRequest, LocateAnswer> {
  return {
    params: locateRequest,
    handle: ({targetId}) => {
      members.expire(performance.now());
      return {announcement: members.find(targetId)};
    },
  };
}
