/** The table of subcommands. */

/** One subcommand; its module is loaded only when it runs. */
export interface Subcommand {
  readonly summary: string;
  /** Resolves with the exit code. */
  run(argv: readonly string[]): Promise<number>;
}

/** Subcommands by name. */
export const SUBCOMMANDS: Readonly<Record<string, Subcommand>> = {};
