/**
 * Exit codes of the operators' client; docs/OPERATORS.md must list the same
 * codes.
 */

/** Exit codes by the outcome of the command. */
export const EXIT_CODES = {
  /** The command succeeded. */
  ok: 0,
  /** No control instance returned a usable reply. */
  unavailable: 1,
  /** Wrong arguments, or a file with errors; nothing was sent. */
  badInput: 2,
  /** The file was not accepted: conflict, superseded or gap. */
  refused: 3,
  /**
   * Accepted, but some processes did not report the revision as active before
   * the timeout.
   */
  notActiveEverywhere: 4,
} as const;
