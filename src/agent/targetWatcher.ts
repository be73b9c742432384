/** Looks at the target again and again, and takes any silence for cold. */

import {Subscription, defer, exhaustMap, timer} from 'rxjs';
import type {TargetObservation} from '../target/targetAdapter';
import type {AgentCore} from './agentCore';

/** A target that answers no probe in this time counts as lost. */
const PROBE_TIMEOUT_MS = 1_000;

/** Watches until the subscription is ended. */
export function watchTarget(
  core: AgentCore,
  onSeen: (seen: TargetObservation) => void
): Subscription {
  return timer(0, core.target.probeIntervalMs)
    .pipe(exhaustMap(() => defer(() => observeOnce(core, onSeen))))
    .subscribe();
}

/** One look that the agent's state takes in; rejects when it is not answered. */
export async function lookAtTarget(
  core: AgentCore
): Promise<TargetObservation> {
  const seen = await core.adapter.observe(
    AbortSignal.timeout(PROBE_TIMEOUT_MS)
  );
  const nowMs = performance.now();
  const cold = core.state.observed(seen, core.gate.outstanding, nowMs);
  core.observed(seen);
  core.prefixes.apply(seen.cacheEvents);
  if (cold !== undefined) countCold(core, cold);
  return seen;
}

async function observeOnce(
  core: AgentCore,
  onSeen: (seen: TargetObservation) => void
): Promise<void> {
  try {
    onSeen(await lookAtTarget(core));
  } catch (err) {
    if (core.state.ready) countCold(core, 'unreachable');
    core.state.lost(performance.now());
    core.logger.debug({err: String(err)}, 'the target did not answer a probe');
  }
  core.gate.pump();
}

function countCold(core: AgentCore, reason: string): void {
  core.metrics.count('gate.cold', {reason});
  core.logger.info({reason}, 'the target is taken for cold');
}
