/** Problems of a rule file, as shown to operators. */

/** A problem and its position; lines and columns count from 1. */
export interface RuleProblem {
  readonly line: number;
  readonly column: number;
  readonly reason: string;
}

/**
 * Formats a problem as `rules.txt:3:7: reason`, which editors can link to the
 * position.
 */
export function formatProblem(file: string, problem: RuleProblem): string {
  return `${file}:${problem.line}:${problem.column}: ${problem.reason}`;
}
