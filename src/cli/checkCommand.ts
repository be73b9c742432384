/** `check`: validates a rule file locally. */

import {formatProblem} from '../rules/ruleProblem';
import {parseRules} from '../rules/parseRules';
import type {RuleSet} from '../rules/rule';
import {EXIT_CODES} from './exitCodes';
import {readInputFile, runCommand} from './runCommand';
import type {Print} from './runCommand';

const HELP = `
  Usage
    $ marlpulley check FILE

  Reads a rule file and prints every fault with line and column. Sends nothing.

  Exit codes
    0  the file is good
    2  the file has faults
`;

/**
 * Parses a rule file; prints its errors and returns undefined if it has any.
 */
export function checkRules(file: string, print: Print): RuleSet | undefined {
  const result = parseRules(readInputFile(file));
  if (result.ok) return result.ruleSet;
  for (const problem of result.problems) print(formatProblem(file, problem));
  const count = result.problems.length;
  print(`${count} ${count === 1 ? 'fault' : 'faults'}; nothing was applied`);
  return undefined;
}

/** Runs `check`. */
export function runCheck(argv: readonly string[]): Promise<number> {
  const spec = {help: HELP, flags: {}, inputs: ['FILE']};
  return runCommand(spec, argv, ({inputs: [file = '']}, print) => {
    const ruleSet = checkRules(file, print);
    if (ruleSet === undefined) return EXIT_CODES.badInput;
    const {rules, revision} = ruleSet;
    print(`${file}: revision ${revision}, ${rules.length} rules, no faults`);
    return EXIT_CODES.ok;
  });
}
