/** A second attempt beside a slow first one, for calls that may run twice. */

/** Outcome of one of the two attempts. */
export type HedgeOutcome = {readonly kind: 'answered' | 'refused'};

/** One attempt in progress. */
export interface HedgedAttempt<T extends HedgeOutcome> {
  readonly outcome: Promise<T>;
  /** Cancels it; its outcome is ignored from then on. */
  cancel(): void;
}

/**
 * Resolves with the first response of the two attempts, or with the last
 * refusal if both are refused. The second attempt starts when the first has no
 * outcome after `afterMs`, unless `startSecond` returns undefined. The slower
 * attempt is cancelled when the other one gets a response.
 */
export async function runHedged<T extends HedgeOutcome>(
  first: HedgedAttempt<T>,
  afterMs: number,
  startSecond: () => HedgedAttempt<T> | undefined
): Promise<T> {
  const firstOutcome = await withTimeout(first.outcome, afterMs);
  if (firstOutcome !== undefined) return firstOutcome;
  const second = startSecond();
  if (second === undefined) return first.outcome;
  const attempts = [first, second];
  const winner = await Promise.race(
    attempts.map(attempt => withAttempt(attempt))
  );
  const other = attempts.find(attempt => attempt !== winner.attempt) ?? first;
  if (winner.end.kind === 'refused') return other.outcome;
  other.cancel();
  return winner.end;
}

async function withAttempt<T extends HedgeOutcome>(attempt: HedgedAttempt<T>) {
  return {attempt, end: await attempt.outcome};
}

/** Resolves with undefined if there is no outcome in time. */
function withTimeout<T>(
  outcome: Promise<T>,
  ms: number
): Promise<T | undefined> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => resolve(undefined), ms);
    outcome.finally(() => clearTimeout(timer)).then(resolve, reject);
  });
}
