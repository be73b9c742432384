/** Parses and validates a single line of a rule file. */

import type {z} from 'zod';
import {suggestion} from '../core/nearestName';
import {readAskedBy} from './askedBy';
import type {Rule} from './rule';
import type {RuleProblem} from './ruleProblem';
import {POSITIONAL_KEYS, RULE_FIELDS, RULE_SCHEMA} from './ruleSchema';
import type {RuleField, RuleKeyword} from './ruleSchema';
import {tokenizeLine} from './tokenizeLine';
import type {Word} from './tokenizeLine';
import {toRule} from './toRule';

/** A valid rule with the text of its line, for checks between lines. */
export interface ParsedRule {
  readonly rule: Rule;
  readonly text: string;
}

/** A parsed line; blank and comment lines have neither rule nor problems. */
export interface ParsedLine {
  readonly parsedRule?: ParsedRule;
  readonly problems: readonly RuleProblem[];
}

/** Collects the values of one line, their columns and their problems. */
class LineReader {
  readonly problems: RuleProblem[] = [];
  readonly values = new Map<string, string>();
  readonly columns = new Map<string, number>();

  constructor(
    private readonly line: number,
    private readonly fields: readonly RuleField[]
  ) {}

  report(column: number, reason: string): void {
    this.problems.push({line: this.line, column, reason});
  }

  readPositional(key: string, word: Word): void {
    this.values.set(key, word.text);
    this.columns.set(key, word.column);
  }

  readOption(word: Word): void {
    const separator = word.text.indexOf('=');
    if (separator <= 0) {
      this.report(word.column, this.unexpectedWordReason(word.text));
      return;
    }
    const key = word.text.slice(0, separator);
    if (!this.optionKeys().includes(key)) {
      this.report(word.column, `unknown key "${key}"${this.hint(key)}`);
      return;
    }
    if (this.values.has(key)) {
      this.report(word.column, `"${key}" is given twice`);
      return;
    }
    this.values.set(key, word.text.slice(separator + 1));
    this.columns.set(key, word.column + separator + 1);
  }

  private optionKeys(): readonly string[] {
    return this.fields.filter(f => !f.positional).map(f => f.key);
  }

  private hint(key: string): string {
    const keys = this.optionKeys();
    const near = suggestion(key, keys);
    if (near !== '' || keys.length === 0) return near;
    return `; this line takes ${keys.join(', ')}`;
  }

  private unexpectedWordReason(text: string): string {
    const keys = this.optionKeys();
    if (keys.length === 0) return `nothing may follow here, found "${text}"`;
    return `expected key=value, found "${text}"${suggestion(text, keys)}`;
  }
}

function missingReason(field: RuleField): string {
  const shown = field.positional ? `the ${field.key}` : `"${field.key}="`;
  return `${shown} is missing; it must be ${field.range}`;
}

function readWords(
  reader: LineReader,
  kind: RuleKeyword,
  words: readonly Word[]
): void {
  const positional = POSITIONAL_KEYS[kind];
  for (const [index, word] of words.entries()) {
    const key = positional[index];
    if (key === undefined) reader.readOption(word);
    else reader.readPositional(key, word);
  }
}

function reportMissing(
  reader: LineReader,
  fields: readonly RuleField[],
  column: number
): void {
  for (const field of fields)
    if (!field.optional && !reader.values.has(field.key))
      reader.report(column, missingReason(field));
}

function reportIssues(
  reader: LineReader,
  issues: readonly z.core.$ZodIssue[]
): void {
  for (const issue of issues) {
    const key = String(issue.path[0]);
    const column = reader.columns.get(key);
    // Missing values have been reported already, with their ranges.
    if (column !== undefined) reader.report(column, `${key} ${issue.message}`);
  }
}

function requireAskedBy(
  reader: LineReader,
  comment: Word | undefined,
  end: number
): string | undefined {
  const askedBy = comment === undefined ? undefined : readAskedBy(comment.text);
  if (askedBy === undefined)
    reader.report(
      comment?.column ?? end,
      'nobody is named; end the line with "# asked by NAME"'
    );
  return askedBy;
}

function parseRule(
  text: string,
  line: number,
  first: Word,
  rest: readonly Word[],
  comment: Word | undefined
): ParsedLine {
  const last = rest.at(-1) ?? first;
  const end = last.column + last.text.length;
  const fields = RULE_FIELDS.get(first.text);
  if (fields === undefined) {
    const known = [...RULE_FIELDS.keys()];
    const near = suggestion(first.text, known);
    const hint = near === '' ? `; known are ${known.join(', ')}` : near;
    const reason = `unknown rule "${first.text}"${hint}`;
    return {problems: [{line, column: first.column, reason}]};
  }
  const reader = new LineReader(line, fields);
  readWords(reader, first.text as RuleKeyword, rest);
  reportMissing(reader, fields, end);
  const values = {kind: first.text, ...Object.fromEntries(reader.values)};
  const parsed = RULE_SCHEMA.safeParse(values);
  if (!parsed.success) reportIssues(reader, parsed.error.issues);
  const askedBy = requireAskedBy(reader, comment, end);
  if (!parsed.success || askedBy === undefined || reader.problems.length > 0)
    return {problems: reader.problems};
  const rule = toRule(parsed.data, {line, askedBy});
  return {parsedRule: {rule, text}, problems: []};
}

/** Returns the rule of a line, or all problems of the line by itself. */
export function parseLine(text: string, line: number): ParsedLine {
  const tokenized = tokenizeLine(text);
  if (!tokenized.ok) {
    const {column, reason} = tokenized;
    return {problems: [{line, column, reason}]};
  }
  const [first, ...rest] = tokenized.words;
  if (first === undefined) return {problems: []};
  return parseRule(text, line, first, rest, tokenized.comment);
}

/** Column of a value in a valid line; 1 if the key is absent. */
export function columnOf({rule, text}: ParsedRule, key: string): number {
  const tokenized = tokenizeLine(text);
  const fields = RULE_FIELDS.get(rule.kind) ?? [];
  const reader = new LineReader(rule.line, fields);
  if (tokenized.ok) readWords(reader, rule.kind, tokenized.words.slice(1));
  return reader.columns.get(key) ?? 1;
}
