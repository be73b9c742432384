/** Records calls under idempotency keys and checks that they run at most once. */

import type {RecordedAnswer} from '../../src/core/claims';
import {REFUSALS, Refusal} from '../../src/core/refusal';

/** One execution at a target. */
export interface TargetRun {
  readonly key: string;
  readonly callId: string;
}

/** How one submission of a call ended for its caller. */
export interface SubmissionEnd {
  readonly callId: string;
  readonly key: string;
  readonly end:
    | {readonly kind: 'answer'; readonly answer: RecordedAnswer}
    | {readonly kind: 'refuse'; readonly refusal: Refusal};
}

/** All executions and ends of one schedule. */
export interface OnceHistory {
  readonly keys: readonly string[];
  readonly runs: readonly TargetRun[];
  readonly ended: readonly SubmissionEnd[];
}

/**
 * Checks that each key ran at most once, that responses belong to their key,
 * that "not run" is true, and that the last submission of each key has ended.
 */
export function checkAtMostOnce(history: OnceHistory): void {
  for (const key of history.keys) {
    const runs = history.runs.filter(run => run.key === key);
    if (runs.length > 1)
      throw new Error(
        `${key} ran ${runs.length} times: ${runs.map(run => run.callId).join(', ')}`
      );
  }
  for (const {callId, key, end} of history.ended) {
    if (end.kind === 'answer') checkAnswer(history, key, callId, end.answer);
    else checkRefusal(history, callId, end.refusal);
  }
  for (const key of history.keys) {
    if (!history.ended.some(one => one.callId === `${key}/last`))
      throw new Error(`${key}: the last submission did not end`);
  }
}

function checkAnswer(
  history: OnceHistory,
  key: string,
  callId: string,
  answer: RecordedAnswer
): void {
  const run = history.runs[Number(answer.bodyBase64) - 1];
  if (run?.key !== key)
    throw new Error(`${callId} got the response of ${run?.key ?? 'no run'}`);
}

function checkRefusal(
  history: OnceHistory,
  callId: string,
  refusal: Refusal
): void {
  if (REFUSALS[refusal.reason].outcome !== 'not run') return;
  if (history.runs.some(run => run.callId === callId)) {
    throw new Error(
      `${callId} was refused as "not run" (${refusal.reason}), but ran`
    );
  }
}
