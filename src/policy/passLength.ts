/**
 * How long a pass of a group lasts, from the profile of its engines, what runs,
 * and how unevenly the experts' work lies on the ranks.
 *
 * Pattern: a group under many streams, with other experts in demand
 * every few seconds. What a pass will last after the next shift can be foreseen
 * from the skew that shifts bring; waiting until a pass was too long makes every
 * stream late that runs at that moment.
 */

import type {PassProfile} from '../core/passProfile';

/** A group, as far as the length of its passes depends on it. */
export interface GroupShape {
  readonly engine: PassProfile;
  readonly ranks: number;
  /** Highest load of a rank over the mean, mean of the sets of experts. */
  readonly skew: number;
}

/** Part of a pass that does not depend on what runs, milliseconds. */
export function fixedPassMs({stepMs, stepsPerPass}: PassProfile): number {
  return stepMs * stepsPerPass;
}

/** What each running request adds to a pass, milliseconds. */
export function requestPassMs({engine, ranks, skew}: GroupShape): number {
  const writingMs = engine.stepMsPerRequest * engine.stepsPerPass;
  const passes = Math.max(1, engine.usualAnswerTokens / engine.stepsPerPass);
  const readingMs = engine.usualReadMs / passes;
  const {expertShare} = engine;
  const unevenness = 1 - expertShare + expertShare * skew;
  return ((writingMs + readingMs) * unevenness) / Math.max(1, ranks);
}
