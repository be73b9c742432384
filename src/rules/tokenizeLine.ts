/** Splits one line of the rule file into words and its comment. */

import {parse} from 'shell-quote';
import type {ParseEntry} from 'shell-quote';

/** One word; the column counts from 1. */
export interface Word {
  readonly text: string;
  readonly column: number;
}

/** What a line holds, or the one fault that keeps it from being read. */
export type TokenizedLine =
  | {
      readonly ok: true;
      readonly words: readonly Word[];
      readonly comment?: Word;
    }
  | {readonly ok: false; readonly column: number; readonly reason: string};

/** Longest line taken, in characters. */
const MAX_LINE_LENGTH = 1000;
const CONTROL_CHARACTER = /[\p{Cc}\p{Cf}\u2028\u2029]/u;
const PLAIN_WORDS_ONLY =
  'quotes, backslashes and "$" have no meaning here; write plain words';

function failure(column: number, reason: string): TokenizedLine {
  return {ok: false, column, reason};
}

/** No variable has a value, so a word with one differs from its source. */
const NO_VARIABLES: Readonly<Record<string, string>> = Object.create(null);

function tokens(line: string): readonly ParseEntry[] | undefined {
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

/** Column, from 0, of the first character after any blanks. */
function skipBlanks(line: string, from: number): number {
  const offset = line.slice(from).search(/\S/);
  return offset < 0 ? line.length : from + offset;
}

/** Places each token in the line; shell-quote itself gives no columns. */
function placeTokens(
  line: string,
  entries: readonly ParseEntry[]
): TokenizedLine {
  const words: Word[] = [];
  let end = 0;
  for (const entry of entries) {
    const start = skipBlanks(line, end);
    const column = start + 1;
    if (typeof entry === 'object' && 'comment' in entry)
      return placeComment(line, start, end, words, entry.comment);
    if (typeof entry === 'object')
      return failure(column, operatorReason(entry));
    // A quoted or escaped word differs from its source; a stray quote, which
    // shell-quote skips, leaves a gap. Both would make the text ambiguous.
    if (!line.startsWith(entry, start) || entry === '')
      return failure(column, PLAIN_WORDS_ONLY);
    if (start === end && words.length > 0)
      return failure(column, 'put a blank between the words');
    words.push({text: entry, column});
    end = start + entry.length;
  }
  const rest = skipBlanks(line, end);
  if (rest < line.length) return failure(rest + 1, PLAIN_WORDS_ONLY);
  return {ok: true, words};
}

function placeComment(
  line: string,
  start: number,
  end: number,
  words: readonly Word[],
  comment: string
): TokenizedLine {
  if (line[start] !== '#') return failure(start + 1, PLAIN_WORDS_ONLY);
  if (start === end && words.length > 0)
    return failure(start + 1, 'put a blank before "#"');
  return {ok: true, words, comment: {text: comment, column: start + 1}};
}

/** Words and comment of one line, without its line end. */
export function tokenizeLine(line: string): TokenizedLine {
  if (line.length > MAX_LINE_LENGTH)
    return failure(
      MAX_LINE_LENGTH + 1,
      `the line is longer than ${MAX_LINE_LENGTH} characters`
    );
  const blanked = line.replaceAll('\t', ' ');
  const control = blanked.search(CONTROL_CHARACTER);
  if (control >= 0)
    return failure(control + 1, 'control characters are not allowed');
  const entries = tokens(blanked);
  if (entries === undefined)
    return failure(blanked.indexOf('$') + 1, PLAIN_WORDS_ONLY);
  return placeTokens(blanked, entries);
}
