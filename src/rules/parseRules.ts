/**
 * Parses a rule file as a whole. If any line is invalid, the file is rejected
 * and all problems are reported at once.
 */

import {ANY_CUSTOMER, crossCheck} from './crossCheck';
import type {DeclaredNames} from './crossCheck';
import {parseLine} from './parseLine';
import type {ParsedLine, ParsedRule} from './parseLine';
import type {Rule, RuleSet} from './rule';
import type {RuleProblem} from './ruleProblem';

/** The rules of a file, or all its problems. */
export type ParseResult =
  | {readonly ok: true; readonly ruleSet: RuleSet}
  | {readonly ok: false; readonly problems: readonly RuleProblem[]};

/** Size limit of a rule file, in characters. */
const MAX_TEXT_LENGTH = 1_048_576;

const DECLARATION = /^\s*(pool|customer)\s+([^\s#]+)/;

/** Names declared on any line, including invalid ones. */
function declaredNames(lines: readonly string[]): DeclaredNames {
  const pools = new Set<string>();
  const customers = new Set<string>([ANY_CUSTOMER]);
  for (const line of lines) {
    const [, word, name = ''] = DECLARATION.exec(line) ?? [];
    if (word === 'pool') pools.add(name);
    if (word === 'customer') customers.add(name);
  }
  return {pools, customers};
}

function sortByPosition(
  problems: readonly RuleProblem[]
): readonly RuleProblem[] {
  return [...problems].sort((a, b) => a.line - b.line || a.column - b.column);
}

function findMissingRevision(
  lines: readonly string[],
  parsedRules: readonly ParsedRule[]
): readonly RuleProblem[] {
  const found =
    parsedRules.some(item => item.rule.kind === 'revision') ||
    lines.some(line => /^\s*revision(\s|$)/.test(line));
  if (found) return [];
  const reason =
    'the file has no "revision N # asked by NAME" line; N is one more than the revision in force';
  return [{line: 1, column: 1, reason}];
}

function revisionOf(parsedRules: readonly ParsedRule[]): number {
  for (const {rule} of parsedRules)
    if (rule.kind === 'revision') return rule.revision;
  return 0;
}

function splitLines(text: string): readonly string[] {
  return text.replace(/^\uFEFF/, '').split(/\r?\n/);
}

/** Rules of the previous file by the text of their line. */
function rulesByLineText(
  previous: RuleSet | undefined
): ReadonlyMap<string, Rule> {
  const rules = new Map<string, Rule>();
  if (previous === undefined) return rules;
  const lines = splitLines(previous.text);
  for (const rule of previous.rules) {
    const text = lines[rule.line - 1];
    if (text !== undefined) rules.set(text, rule);
  }
  return rules;
}

function parseLines(
  lines: readonly string[],
  previousRules: ReadonlyMap<string, Rule>
): readonly ParsedLine[] {
  return lines.map((text, index) => {
    const line = index + 1;
    const rule = previousRules.get(text);
    if (rule === undefined) return parseLine(text, line);
    const parsedRule = {
      rule: rule.line === line ? rule : {...rule, line},
      text,
    };
    return {parsedRule, problems: []};
  });
}

/**
 * Parses the text of a rule file. Lines that also occur in the previous rule
 * set, if given, are not parsed again; this does not change the result.
 */
export function parseRules(text: string, previous?: RuleSet): ParseResult {
  if (text.length > MAX_TEXT_LENGTH) {
    const reason = `the file is longer than ${MAX_TEXT_LENGTH} characters`;
    return {ok: false, problems: [{line: 1, column: 1, reason}]};
  }
  const lines = splitLines(text);
  const parsed = parseLines(lines, rulesByLineText(previous));
  const parsedRules = parsed.flatMap(item => item.parsedRule ?? []);
  const problems = [
    ...parsed.flatMap(item => item.problems),
    ...findMissingRevision(lines, parsedRules),
    ...crossCheck(parsedRules, declaredNames(lines)),
  ];
  if (problems.length > 0)
    return {ok: false, problems: sortByPosition(problems)};
  const rules = parsedRules.map(item => item.rule);
  return {ok: true, ruleSet: {revision: revisionOf(parsedRules), text, rules}};
}
