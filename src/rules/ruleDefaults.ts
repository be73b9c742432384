/** Defaults for lines and keys that the rule file leaves out. */

/**
 * Limits of a pool without a `limit` line, and for keys that the line leaves
 * out.
 */
export const DEFAULT_LIMIT = {
  timeoutMs: 30_000,
  attempts: 3,
  retryBudgetPercent: 10,
} as const;

/** Concurrency ramp of a pool without a `warmup` line. */
export const DEFAULT_WARMUP = {
  start: 1,
  full: 8,
  overMs: 30_000,
} as const;

/** Weight of a `route` line without `weight`. */
export const DEFAULT_WEIGHT = 100;

/**
 * Weight of a customer without a `customer` line; known customers always have
 * one.
 */
export const DEFAULT_SHARE = 1;

/**
 * Minimum gain that starts a move, in percent; 0 leaves the decision to the
 * planner.
 */
export const DEFAULT_GAIN_PERCENT = 0;
