/** A second attempt beside a slow first one, for calls that may run twice. */

/** What came of one of the two attempts. */
export type HedgeEnd = {readonly kind: 'answered' | 'refused'};

/** One attempt under way. */
export interface HedgeLeg<T extends HedgeEnd> {
  readonly outcome: Promise<T>;
  /** Breaks it off; its outcome is then never used. */
  cancel(): void;
}

/**
 * Resolves with the first answer of the two, or with the last refusal. The
 * second leg starts when the first has shown nothing for `afterMs`, and only
 * if `startSecond` can afford it. The slower leg is cancelled.
 */
export async function hedged<T extends HedgeEnd>(
  first: HedgeLeg<T>,
  afterMs: number,
  startSecond: () => HedgeLeg<T> | undefined
): Promise<T> {
  const early = await withinTime(first.outcome, afterMs);
  if (early !== undefined) return early;
  const second = startSecond();
  if (second === undefined) return first.outcome;
  const legs = [first, second];
  const winner = await Promise.race(legs.map(leg => tagged(leg)));
  const other = legs.find(leg => leg !== winner.leg) ?? first;
  if (winner.end.kind === 'refused') return other.outcome;
  other.cancel();
  return winner.end;
}

async function tagged<T extends HedgeEnd>(leg: HedgeLeg<T>) {
  return {leg, end: await leg.outcome};
}

/** Undefined when the time runs out first. */
function withinTime<T>(
  outcome: Promise<T>,
  ms: number
): Promise<T | undefined> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => resolve(undefined), ms);
    outcome.finally(() => clearTimeout(timer)).then(resolve, reject);
  });
}
