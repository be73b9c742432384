/**
 * How long a part stays in quarantine: until requests with it have ceased for a while.
 * They are the only ones that could show that targets serve it again, and each costs a
 * crash if they don't, so that the term is renewed by arrivals and grows with relapses.
 */

const FIRST_QUIET_MS = 120_000;
const MAX_QUIET_MS = 3_600_000;
/** Terms, in multiples of the quiet time, after which arrivals renew it no more. */
const MAX_TERM_FACTOR = 15;

/** One part in quarantine. */
export interface QuarantineTerm {
  readonly sinceMs: number;
  /** Last arrival of a request with the part. */
  readonly lastArrivalMs: number;
  /** Earlier quarantines of the part. */
  readonly relapses: number;
}

/** Whether the quarantine has ended. */
export function hasTermEnded(term: QuarantineTerm, nowMs: number): boolean {
  const {sinceMs, lastArrivalMs, relapses} = term;
  const quietMs = Math.min(MAX_QUIET_MS, FIRST_QUIET_MS * 2 ** relapses);
  return (
    nowMs - lastArrivalMs >= quietMs ||
    nowMs - sinceMs >= quietMs * MAX_TERM_FACTOR
  );
}
