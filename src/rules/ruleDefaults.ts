/** What holds where the rule file says nothing. */

/** Limits of a pool without a `limit` line, or for a key left out. */
export const DEFAULT_LIMIT = {
  timeoutMs: 30_000,
  attempts: 3,
  retryBudgetPercent: 10,
} as const;

/** Ramp of a pool without a `warmup` line. */
export const DEFAULT_WARMUP = {
  start: 1,
  full: 8,
  overMs: 30_000,
} as const;

/** Weight of a route that names none. */
export const DEFAULT_WEIGHT = 100;

/** Share of a customer; only unknown customers are ever without a line. */
export const DEFAULT_SHARE = 1;

/** Least gain that starts a move, in percent; 0 leaves it to the planner. */
export const DEFAULT_GAIN_PERCENT = 0;
