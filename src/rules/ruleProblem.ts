/** Faults of a rule file, as shown to the operator. */

/** One fault; line and column count from 1. */
export interface RuleProblem {
  readonly line: number;
  readonly column: number;
  readonly reason: string;
}

/** `rules.txt:3:7: reason`, the form that editors can jump to. */
export function formatProblem(file: string, problem: RuleProblem): string {
  return `${file}:${problem.line}:${problem.column}: ${problem.reason}`;
}
