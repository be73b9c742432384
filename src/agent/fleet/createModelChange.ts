/** Joins the orders for models to one agent's gate, target and control. */

import type {OrderCheckAnswer} from '../../core/fleetMessages';
import {METHODS} from '../../rpc/messages';
import type {PeerClient} from '../../rpc/peerClient';
import {LeaderCalls} from '../../sync/leaderCalls';
import type {AgentCore} from '../agentCore';
import {lookAtTarget} from '../targetWatcher';
import {ModelChange} from './modelChange';

const PAUSE_MS = 100;
const CHECK_TIMEOUT_MS = 5_000;
/** An engine may answer an order only when the weights are there. */
const ORDER_TIMEOUT_MS = 30 * 60_000;

/** The orders of one agent. */
export function createModelChange(
  core: AgentCore,
  instances: readonly PeerClient[]
): ModelChange {
  const leader = new LeaderCalls(instances);
  const {targetId} = core;
  return new ModelChange({
    close: () => core.beginChange(),
    reopen: changed => core.endChange(changed),
    outstanding: () => core.gate.outstanding,
    look: () => lookAtTarget(core),
    order: order =>
      core.adapter.order(order, AbortSignal.timeout(ORDER_TIMEOUT_MS)),
    check: () =>
      leader.call<OrderCheckAnswer>(
        METHODS.checkOrder,
        {targetId},
        CHECK_TIMEOUT_MS
      ),
    pause: () => new Promise(resolve => setTimeout(resolve, PAUSE_MS)),
    nowMs: () => performance.now(),
  });
}
