/** Probes the target periodically; a failed probe marks it as cold. */

import {Subscription, defer, exhaustMap, timer} from 'rxjs';
import type {TargetObservation} from '../target/targetAdapter';
import type {AgentCore} from './agentCore';

/** A target that does not respond within this time counts as unreachable. */
const PROBE_TIMEOUT_MS = 1_000;

/** Probes until unsubscribed. */
export function watchTarget(
  core: AgentCore,
  onObservation: (observation: TargetObservation) => void
): Subscription {
  return timer(0, core.target.probeIntervalMs)
    .pipe(exhaustMap(() => defer(() => probeOnce(core, onObservation))))
    .subscribe();
}

/**
 * Probes once and updates the agent's state; rejects when the target does not
 * respond.
 */
export async function probeTarget(core: AgentCore): Promise<TargetObservation> {
  const observation = await core.adapter.observe(
    AbortSignal.timeout(PROBE_TIMEOUT_MS)
  );
  const nowMs = performance.now();
  const coldReason = core.state.recordObservation(
    observation,
    core.gate.outstanding,
    nowMs
  );
  core.recordObservation(observation);
  core.prefixes.apply(observation.cacheEvents);
  if (coldReason !== undefined) reportCold(core, coldReason);
  return observation;
}

async function probeOnce(
  core: AgentCore,
  onObservation: (observation: TargetObservation) => void
): Promise<void> {
  try {
    onObservation(await probeTarget(core));
  } catch (err) {
    if (core.state.ready) reportCold(core, 'unreachable');
    core.state.markUnreachable(performance.now());
    core.logger.debug(
      {err: String(err)},
      `probe of target ${core.targetId} failed; nothing new starts there`
    );
  }
  core.gate.admitQueued();
}

function reportCold(core: AgentCore, reason: string): void {
  core.metrics.count('gate.cold', {reason});
  core.logger.info(
    {reason},
    `target ${core.targetId} is cold (${reason}); its concurrency ramp restarts`
  );
}
