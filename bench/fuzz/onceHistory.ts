/** What happened to calls that may run at most once, and whether it may. */

import type {RecordedAnswer} from '../../src/core/claims';
import {REFUSALS, Refusal} from '../../src/core/refusal';

/** One run at a target. */
export interface Run {
  readonly key: string;
  readonly callId: string;
}

/** How one sending ended for its caller. */
export interface Ended {
  readonly callId: string;
  readonly key: string;
  readonly end:
    | {readonly kind: 'answer'; readonly answer: RecordedAnswer}
    | {readonly kind: 'refuse'; readonly refusal: Refusal};
}

/** Everything that the promises speak of. */
export interface OnceHistory {
  readonly keys: readonly string[];
  readonly runs: readonly Run[];
  readonly ended: readonly Ended[];
}

/** Throws with what was seen when a promise broke. */
export function checkOnce(world: OnceHistory): void {
  for (const key of world.keys) {
    const runs = world.runs.filter(run => run.key === key);
    if (runs.length > 1)
      throw new Error(
        `${key} ran ${runs.length} times: ${runs.map(run => run.callId).join(', ')}`
      );
  }
  for (const {callId, key, end} of world.ended) {
    if (end.kind === 'answer') checkAnswer(world, key, callId, end.answer);
    else checkRefusal(world, callId, end.refusal);
  }
  for (const key of world.keys) {
    if (!world.ended.some(one => one.callId === `${key}/last`))
      throw new Error(`${key}: the last sending got no end`);
  }
}

function checkAnswer(
  world: OnceHistory,
  key: string,
  callId: string,
  answer: RecordedAnswer
): void {
  const run = world.runs[Number(answer.bodyBase64) - 1];
  if (run?.key !== key)
    throw new Error(`${callId} got the answer of ${run?.key ?? 'no run'}`);
}

function checkRefusal(
  world: OnceHistory,
  callId: string,
  refusal: Refusal
): void {
  if (REFUSALS[refusal.reason].outcome !== 'not run') return;
  if (world.runs.some(run => run.callId === callId)) {
    throw new Error(`${callId} was told "not run" (${refusal.reason}) and ran`);
  }
}
