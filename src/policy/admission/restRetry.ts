/** Retry-After of callers all of whose targets are at rest. */

/** Spreads the return of callers that were told the same time. */
const SPREAD_RATIO = 0.05;
const MIN_SPREAD_MS = 100;

/** Retry-After in milliseconds for a rest; `random` returns 0 up to below 1. */
export function restRetryMs(restMs: number, random: () => number): number {
  return restMs + Math.max(MIN_SPREAD_MS, SPREAD_RATIO * restMs) * random();
}
