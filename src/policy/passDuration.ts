/**
 * Cost model of the pass duration of a group: engine profile, running requests and
 * load skew of the ranks.
 *
 * The demand for experts may shift every few seconds. The model predicts the pass
 * duration after the next shift from the skew that earlier shifts caused. Reacting
 * only once a pass has been too long would delay every stream running at that
 * moment.
 */

import type {PassProfile} from '../core/passProfile';

/** Properties of a group that affect its pass duration. */
export interface GroupShape {
  readonly engine: PassProfile;
  readonly ranks: number;
  /** Max over mean load of the ranks, averaged over the expert sets. */
  readonly skew: number;
}

/** Part of the pass duration that is independent of the load, milliseconds. */
export function fixedPassMs({stepMs, stepsPerPass}: PassProfile): number {
  return stepMs * stepsPerPass;
}

/** Time that each running request adds to a pass, milliseconds. */
export function passMsPerRequest({engine, ranks, skew}: GroupShape): number {
  const decodeMs = engine.stepMsPerRequest * engine.stepsPerPass;
  const passesPerRequest = Math.max(
    1,
    engine.usualAnswerTokens / engine.stepsPerPass
  );
  const prefillMs = engine.usualReadMs / passesPerRequest;
  const {expertShare} = engine;
  const skewFactor = 1 - expertShare + expertShare * skew;
  return ((decodeMs + prefillMs) * skewFactor) / Math.max(1, ranks);
}
