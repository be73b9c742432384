/** Connects model changes to the agent's gate, its target and control. */

import type {OrderCheckAnswer} from '../../core/fleetMessages';
import {METHODS} from '../../rpc/messages';
import type {PeerClient} from '../../rpc/peerClient';
import {LeaderCalls} from '../../sync/leaderCalls';
import type {AgentCore} from '../agentCore';
import {probeTarget} from '../targetWatcher';
import {ModelChange} from './modelChange';

const POLL_INTERVAL_MS = 100;
const CHECK_TIMEOUT_MS = 5_000;
/** An engine may respond to an order only after the weights are loaded. */
const ORDER_TIMEOUT_MS = 30 * 60_000;

/** Creates the handler of model orders for one agent. */
export function createModelChange(
  core: AgentCore,
  instances: readonly PeerClient[]
): ModelChange {
  const leader = new LeaderCalls(instances);
  const {targetId} = core;
  return new ModelChange({
    close: () => core.beginModelChange(),
    reopen: changed => core.endModelChange(changed),
    outstanding: () => core.gate.outstanding,
    observe: () => probeTarget(core),
    order: order =>
      core.adapter.order(order, AbortSignal.timeout(ORDER_TIMEOUT_MS)),
    checkOrder: () =>
      leader.call<OrderCheckAnswer>(
        METHODS.checkOrder,
        {targetId},
        CHECK_TIMEOUT_MS
      ),
    pause: () => new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS)),
    nowMs: () => performance.now(),
  });
}
