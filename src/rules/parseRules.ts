/**
 * Reads a rule file whole. Either every line is good, or nothing is taken and
 * all faults are reported at once.
 */

import {ANY_CUSTOMER, crossCheck} from './crossCheck';
import type {Declared} from './crossCheck';
import {parseLine} from './parseLine';
import type {ParsedLine, PlacedRule} from './parseLine';
import type {Rule, RuleSet} from './rule';
import type {RuleProblem} from './ruleProblem';

/** The rules, or why there are none. */
export type ParseResult =
  | {readonly ok: true; readonly ruleSet: RuleSet}
  | {readonly ok: false; readonly problems: readonly RuleProblem[]};

/** Largest file taken, in characters. */
const MAX_TEXT_LENGTH = 1_048_576;

const DECLARATION = /^\s*(pool|customer)\s+([^\s#]+)/;

/** Names declared on any line, also on one with another fault. */
function declaredNames(lines: readonly string[]): Declared {
  const pools = new Set<string>();
  const customers = new Set<string>([ANY_CUSTOMER]);
  for (const line of lines) {
    const [, word, name = ''] = DECLARATION.exec(line) ?? [];
    if (word === 'pool') pools.add(name);
    if (word === 'customer') customers.add(name);
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

function splitLines(text: string): readonly string[] {
  return text.replace(/^\uFEFF/, '').split(/\r?\n/);
}

/** Good lines of the file before, as written. */
function knownLines(previous: RuleSet | undefined): ReadonlyMap<string, Rule> {
  const known = new Map<string, Rule>();
  if (previous === undefined) return known;
  const lines = splitLines(previous.text);
  for (const rule of previous.rules) {
    const text = lines[rule.line - 1];
    if (text !== undefined) known.set(text, rule);
  }
  return known;
}

function parseLines(
  lines: readonly string[],
  known: ReadonlyMap<string, Rule>
): readonly ParsedLine[] {
  return lines.map((text, index) => {
    const line = index + 1;
    const rule = known.get(text);
    if (rule === undefined) return parseLine(text, line);
    const placed = {rule: rule.line === line ? rule : {...rule, line}, text};
    return {placed, problems: []};
  });
}

/**
 * Parses the text of a rule file. Given the rules before, lines that stay as
 * they were are not read again; the result is the same.
 */
export function parseRules(text: string, previous?: RuleSet): ParseResult {
  if (text.length > MAX_TEXT_LENGTH) {
    const reason = `the file is longer than ${MAX_TEXT_LENGTH} characters`;
    return {ok: false, problems: [{line: 1, column: 1, reason}]};
  }
  const lines = splitLines(text);
  const parsed = parseLines(lines, knownLines(previous));
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
