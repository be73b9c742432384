/** Splits a line of a rule file into words and a comment. */

import {parse} from 'shell-quote';
import type {ParseEntry} from 'shell-quote';

/** A word or comment; its column counts from 1. */
export interface Word {
  readonly text: string;
  readonly column: number;
}

/** The words and comment of a line, or the first problem in it. */
export type TokenizedLine =
  | {
      readonly ok: true;
      readonly words: readonly Word[];
      readonly comment?: Word;
    }
  | {readonly ok: false; readonly column: number; readonly reason: string};

/** Length limit of a line, in characters. */
const MAX_LINE_LENGTH = 1000;
const CONTROL_OR_FORMAT_CHARACTER = /[\p{Cc}\p{Cf}\u2028\u2029]/u;
const PLAIN_WORDS_ONLY =
  'quotes, backslashes and "$" have no meaning here; write plain words';

function failAt(column: number, reason: string): TokenizedLine {
  return {ok: false, column, reason};
}

/**
 * Expands variables to nothing, so that a word with a variable differs from its
 * source and is detected.
 */
const NO_VARIABLES: Readonly<Record<string, string>> = Object.create(null);

function parseTokens(line: string): readonly ParseEntry[] | undefined {
  try {
    return parse(line, NO_VARIABLES);
  } catch {
    return undefined;
  }
}

function operatorReason(entry: Exclude<ParseEntry, string>): string {
  if ('op' in entry && entry.op === 'glob')
    return '"*" and "?" are no wildcards here; a path is a prefix already';
  return `"${'op' in entry ? entry.op : ''}" has no meaning here`;
}

/** Index, from 0, of the next non-blank character; the line length if none. */
function skipBlanks(line: string, from: number): number {
  const offset = line.slice(from).search(/\S/);
  return offset < 0 ? line.length : from + offset;
}

/** Finds the column of each token, which shell-quote does not report. */
function locateTokens(
  line: string,
  entries: readonly ParseEntry[]
): TokenizedLine {
  const words: Word[] = [];
  let end = 0;
  for (const entry of entries) {
    const start = skipBlanks(line, end);
    const column = start + 1;
    if (typeof entry === 'object' && 'comment' in entry)
      return locateComment(line, start, end, words, entry.comment);
    if (typeof entry === 'object') return failAt(column, operatorReason(entry));
    // Quoted and escaped words differ from their source, and an unmatched
    // quote,
    // which shell-quote skips, leaves a gap. Both are rejected as ambiguous.
    if (!line.startsWith(entry, start) || entry === '')
      return failAt(column, PLAIN_WORDS_ONLY);
    if (start === end && words.length > 0)
      return failAt(column, 'put a blank between the words');
    words.push({text: entry, column});
    end = start + entry.length;
  }
  const rest = skipBlanks(line, end);
  if (rest < line.length) return failAt(rest + 1, PLAIN_WORDS_ONLY);
  return {ok: true, words};
}

function locateComment(
  line: string,
  start: number,
  end: number,
  words: readonly Word[],
  comment: string
): TokenizedLine {
  if (line[start] !== '#') return failAt(start + 1, PLAIN_WORDS_ONLY);
  if (start === end && words.length > 0)
    return failAt(start + 1, 'put a blank before "#"');
  return {ok: true, words, comment: {text: comment, column: start + 1}};
}

/** Tokenizes a line, given without its line terminator. */
export function tokenizeLine(line: string): TokenizedLine {
  if (line.length > MAX_LINE_LENGTH)
    return failAt(
      MAX_LINE_LENGTH + 1,
      `the line is longer than ${MAX_LINE_LENGTH} characters`
    );
  const withoutTabs = line.replaceAll('\t', ' ');
  const control = withoutTabs.search(CONTROL_OR_FORMAT_CHARACTER);
  if (control >= 0)
    return failAt(control + 1, 'control characters are not allowed');
  const entries = parseTokens(withoutTabs);
  if (entries === undefined)
    return failAt(withoutTabs.indexOf('$') + 1, PLAIN_WORDS_ONLY);
  return locateTokens(withoutTabs, entries);
}
