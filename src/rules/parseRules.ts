/**
 * Reads a rule file whole. Either every line is good, or nothing is taken and
 * all faults are reported at once.
 */

import {ANY_CUSTOMER, crossCheck} from './crossCheck';
import type {Declared} from './crossCheck';
import {parseLine} from './parseLine';
import type {PlacedRule} from './parseLine';
import type {RuleSet} from './rule';
import type {RuleProblem} from './ruleProblem';
import {tokenizeLine} from './tokenizeLine';

/** The rules, or why there are none. */
export type ParseResult =
  | {readonly ok: true; readonly ruleSet: RuleSet}
  | {readonly ok: false; readonly problems: readonly RuleProblem[]};

/** Largest file taken, in characters. */
const MAX_TEXT_LENGTH = 1_048_576;

/** Names declared on any line, also on one with another fault. */
function declaredNames(lines: readonly string[]): Declared {
  const pools = new Set<string>();
  const customers = new Set<string>([ANY_CUSTOMER]);
  for (const line of lines) {
    if (!/^\s*(pool|customer)\s/.test(line)) continue;
    const tokenized = tokenizeLine(line);
    if (!tokenized.ok) continue;
    const [word, name] = tokenized.words;
    if (name === undefined) continue;
    if (word?.text === 'pool') pools.add(name.text);
    if (word?.text === 'customer') customers.add(name.text);
  }
  return {pools, customers};
}

function inOrder(problems: readonly RuleProblem[]): readonly RuleProblem[] {
  return [...problems].sort((a, b) => a.line - b.line || a.column - b.column);
}

function missingRevision(
  lines: readonly string[],
  placed: readonly PlacedRule[]
): readonly RuleProblem[] {
  const found =
    placed.some(item => item.rule.kind === 'revision') ||
    lines.some(line => /^\s*revision(\s|$)/.test(line));
  if (found) return [];
  const reason =
    'the file has no "revision N # asked by NAME" line; N is one more than the revision in force';
  return [{line: 1, column: 1, reason}];
}

function revisionOf(placed: readonly PlacedRule[]): number {
  for (const {rule} of placed)
    if (rule.kind === 'revision') return rule.revision;
  return 0;
}

/** Parses the text of a rule file. */
export function parseRules(text: string): ParseResult {
  if (text.length > MAX_TEXT_LENGTH) {
    const reason = `the file is longer than ${MAX_TEXT_LENGTH} characters`;
    return {ok: false, problems: [{line: 1, column: 1, reason}]};
  }
  const lines = text.replace(/^\uFEFF/, '').split(/\r?\n/);
  const parsed = lines.map((line, index) => parseLine(line, index + 1));
  const placed = parsed.flatMap(item => item.placed ?? []);
  const problems = [
    ...parsed.flatMap(item => item.problems),
    ...missingRevision(lines, placed),
    ...crossCheck(placed, declaredNames(lines)),
  ];
  if (problems.length > 0) return {ok: false, problems: inOrder(problems)};
  const rules = placed.map(item => item.rule);
  return {ok: true, ruleSet: {revision: revisionOf(placed), text, rules}};
}
