/** Queries of operators: the state of the system and the usage by customer. */

import type {StatusAnswer, UsageAnswer} from '../../core/operatorMessages';
import {noParams} from '../../rpc/messages';
import type {RpcMethod} from '../../rpc/peerServer';
import type {ControlContext} from '../controlContext';
import {awaitReadBarrier} from './leaderCalls';

/** The `status` method: the local view of this instance, leader or not. */
export function statusMethod(
  context: ControlContext
): RpcMethod<object | undefined, StatusAnswer> {
  return {params: noParams, handle: () => buildStatus(context)};
}

function buildStatus({
  instanceId,
  log,
  state,
  members,
}: ControlContext): StatusAnswer {
  const nowMs = performance.now();
  members.expire(nowMs);
  const {role, term, leaderId, voter, commitIndex} = log.status();
  const processes = members
    .listProcesses()
    .map(({lastPollAtMs, ...process}) => ({
      ...process,
      pollAgeMs: Math.round(nowMs - lastPollAtMs),
    }));
  return {
    instance: {instanceId, role, term, leaderId, voter, commitIndex},
    revision: state.rules.revision,
    rulesText: state.rules.text,
    processes,
    targets: members.listTargets(),
  };
}

/** The `usage` method: linearizable, since customers are billed by it. */
export function usageMethod({
  log,
  state,
}: ControlContext): RpcMethod<object | undefined, UsageAnswer> {
  return {
    params: noParams,
    handle: async () => {
      await awaitReadBarrier(log);
      return {customers: state.usage.totals()};
    },
  };
}
