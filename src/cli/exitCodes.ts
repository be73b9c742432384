/** Exit codes of the operators' client; docs/OPERATORS.md lists the same. */

/** Codes by what came of the command. */
export const EXIT_CODES = {
  /** Done as asked. */
  ok: 0,
  /** No control instance gave a usable answer. */
  unavailable: 1,
  /** Wrong arguments, or a file with faults; nothing was sent. */
  badInput: 2,
  /** The file was not taken: conflict, superseded or gap. */
  refused: 3,
  /** Accepted, but not seen in force everywhere in time. */
  notEverywhere: 4,
} as const;
