/** Reads one line of the rule file by itself. */

import type {z} from 'zod';
import {suggestion} from '../core/nearestName';
import {readAskedBy} from './askedBy';
import type {Rule} from './rule';
import type {RuleProblem} from './ruleProblem';
import {POSITIONAL, RULE_FIELDS, RULE_SCHEMA} from './ruleSchema';
import type {RuleField, RuleWord} from './ruleSchema';
import {tokenizeLine} from './tokenizeLine';
import type {Word} from './tokenizeLine';
import {toRule} from './toRule';

/** A rule with its line as written, for checks across lines. */
export interface PlacedRule {
  readonly rule: Rule;
  readonly text: string;
}

/** What a line came to; a blank or comment line has neither. */
export interface ParsedLine {
  readonly placed?: PlacedRule;
  readonly problems: readonly RuleProblem[];
}

/** Collects the values of one line and what is wrong with them. */
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

  takePositional(key: string, word: Word): void {
    this.values.set(key, word.text);
    this.columns.set(key, word.column);
  }

  takeOption(word: Word): void {
    const split = word.text.indexOf('=');
    if (split <= 0) {
      this.report(word.column, this.unexpected(word.text));
      return;
    }
    const key = word.text.slice(0, split);
    if (!this.optionKeys().includes(key)) {
      this.report(word.column, `unknown key "${key}"${this.hint(key)}`);
      return;
    }
    if (this.values.has(key)) {
      this.report(word.column, `"${key}" is given twice`);
      return;
    }
    this.values.set(key, word.text.slice(split + 1));
    this.columns.set(key, word.column + split + 1);
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

  private unexpected(text: string): string {
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
  kind: RuleWord,
  words: readonly Word[]
): void {
  const positional = POSITIONAL[kind];
  for (const [index, word] of words.entries()) {
    const key = positional[index];
    if (key === undefined) reader.takeOption(word);
    else reader.takePositional(key, word);
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
    // A value that is absent has been reported already, with its range.
    if (column !== undefined) reader.report(column, `${key} ${issue.message}`);
  }
}

function whoAsked(
  reader: LineReader,
  comment: Word | undefined,
  end: number
): string | undefined {
  const who = comment === undefined ? undefined : readAskedBy(comment.text);
  if (who === undefined)
    reader.report(
      comment?.column ?? end,
      'nobody is named; end the line with "# asked by NAME"'
    );
  return who;
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
  readWords(reader, first.text as RuleWord, rest);
  reportMissing(reader, fields, end);
  const values = {kind: first.text, ...Object.fromEntries(reader.values)};
  const parsed = RULE_SCHEMA.safeParse(values);
  if (!parsed.success) reportIssues(reader, parsed.error.issues);
  const askedBy = whoAsked(reader, comment, end);
  if (!parsed.success || askedBy === undefined || reader.problems.length > 0)
    return {problems: reader.problems};
  const rule = toRule(parsed.data, {line, askedBy});
  return {placed: {rule, text}, problems: []};
}

/** The rule on one line, or all that is wrong with the line by itself. */
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

/** Column of one value in a good line; 1 when the line leaves it out. */
export function columnOf({rule, text}: PlacedRule, key: string): number {
  const tokenized = tokenizeLine(text);
  const fields = RULE_FIELDS.get(rule.kind) ?? [];
  const reader = new LineReader(rule.line, fields);
  if (tokenized.ok) readWords(reader, rule.kind, tokenized.words.slice(1));
  return reader.columns.get(key) ?? 1;
}
