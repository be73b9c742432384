/** Timeouts of servers whose requests have no body of use. */

/** Options of `http.createServer`. */
export const QUICK_REQUEST_TIMEOUTS = {
  headersTimeout: 5_000,
  requestTimeout: 10_000,
  connectionsCheckingInterval: 1_000,
} as const;
