/**
 * What changed between two rule files, so that an edit of one line reaches
 * thousands of processes as one line and not as the whole file.
 */

import {createHash} from 'node:crypto';
import type {LineChange, RuleDiff} from '../core/wire';

/** A text with its revision. */
export interface RevisedText {
  readonly revision: number;
  readonly text: string;
}

/** Lines kept in both texts, as pairs of line numbers, ascending. */
interface KeptLine {
  readonly from: number;
  readonly to: number;
}

/** Digest by which both ends agree on a text. */
export function textDigest(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

function onceOnly(lines: readonly string[]): ReadonlyMap<string, number> {
  const places = new Map<string, number>();
  const repeated = new Set<string>();
  for (const [index, line] of lines.entries()) {
    if (places.has(line)) repeated.add(line);
    places.set(line, index);
  }
  for (const line of repeated) places.delete(line);
  return places;
}

/** Longest run of pairs that ascends on both sides, by patience sorting. */
function longestAscending(pairs: readonly KeptLine[]): readonly KeptLine[] {
  const tops: KeptLine[] = [];
  const before = new Map<KeptLine, KeptLine | undefined>();
  for (const pair of pairs) {
    let low = 0;
    let high = tops.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((tops[middle]?.to ?? 0) < pair.to) low = middle + 1;
      else high = middle;
    }
    before.set(pair, tops[low - 1]);
    tops[low] = pair;
  }
  const run: KeptLine[] = [];
  for (let pair = tops.at(-1); pair !== undefined; pair = before.get(pair))
    run.push(pair);
  return run.reverse();
}

/** Lines that stand once in each text and keep their order. */
function anchors(
  from: readonly string[],
  to: readonly string[]
): readonly KeptLine[] {
  const places = onceOnly(to);
  const pairs: KeptLine[] = [];
  for (const [line, index] of onceOnly(from)) {
    const place = places.get(line);
    if (place !== undefined) pairs.push({from: index, to: place});
  }
  return longestAscending(pairs.sort((a, b) => a.from - b.from));
}

/** The change between two anchors, less the lines equal at its ends. */
function changeBetween(
  from: readonly string[],
  to: readonly string[],
  start: KeptLine,
  end: KeptLine
): LineChange | undefined {
  let {from: at, to: place} = start;
  let {from: fromEnd, to: toEnd} = end;
  while (at < fromEnd && place < toEnd && from[at] === to[place]) {
    at++;
    place++;
  }
  while (fromEnd > at && toEnd > place && from[fromEnd - 1] === to[toEnd - 1]) {
    fromEnd--;
    toEnd--;
  }
  if (at === fromEnd && place === toEnd) return undefined;
  return {at, removed: fromEnd - at, added: to.slice(place, toEnd)};
}

/** The difference that turns one file into the other. */
export function diffRules(from: RevisedText, to: RevisedText): RuleDiff {
  const fromLines = from.text.split('\n');
  const toLines = to.text.split('\n');
  const ends = [
    ...anchors(fromLines, toLines),
    {from: fromLines.length, to: toLines.length},
  ];
  const changes: LineChange[] = [];
  let start: KeptLine = {from: 0, to: 0};
  for (const end of ends) {
    const change = changeBetween(fromLines, toLines, start, end);
    if (change !== undefined) changes.unshift(change);
    start = {from: end.from + 1, to: end.to + 1};
  }
  return {
    fromRevision: from.revision,
    toRevision: to.revision,
    fromDigest: textDigest(from.text),
    toDigest: textDigest(to.text),
    changes,
  };
}

/**
 * The file that a difference leads to; undefined when it was made for another
 * text, and the whole file has to be sent. The digest of the result is checked
 * as well: a wrong line in force would not show until a request went astray.
 */
export function applyDiff(
  from: RevisedText,
  diff: RuleDiff
): RevisedText | undefined {
  if (diff.fromRevision !== from.revision) return undefined;
  if (diff.fromDigest !== textDigest(from.text)) return undefined;
  const lines = from.text.split('\n');
  for (const {at, removed, added} of diff.changes)
    lines.splice(at, removed, ...added);
  const text = lines.join('\n');
  if (textDigest(text) !== diff.toDigest) return undefined;
  return {revision: diff.toRevision, text};
}
