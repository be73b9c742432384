/**
 * Line differences between rule files, so that an edit of one line is sent to
 * thousands of processes as one line instead of the whole file.
 */

import {createHash} from 'node:crypto';
import type {LineChange, RuleDiff} from '../core/wire';

/** The text of a rule file and its revision. */
export interface RuleFileRevision {
  readonly revision: number;
  readonly text: string;
}

/** A line that both texts contain, by its index in each. */
interface LinePair {
  readonly from: number;
  readonly to: number;
}

/** Digest by which sender and receiver compare texts. */
export function textDigest(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

function uniqueLines(lines: readonly string[]): ReadonlyMap<string, number> {
  const indexes = new Map<string, number>();
  const repeated = new Set<string>();
  for (const [index, line] of lines.entries()) {
    if (indexes.has(line)) repeated.add(line);
    indexes.set(line, index);
  }
  for (const line of repeated) indexes.delete(line);
  return indexes;
}

/**
 * Longest subsequence that ascends in both texts, by patience sorting; the
 * pairs must ascend by `from`.
 */
function longestAscendingRun(pairs: readonly LinePair[]): readonly LinePair[] {
  const runEnds: LinePair[] = [];
  const predecessors = new Map<LinePair, LinePair | undefined>();
  for (const pair of pairs) {
    let low = 0;
    let high = runEnds.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((runEnds[middle]?.to ?? 0) < pair.to) low = middle + 1;
      else high = middle;
    }
    predecessors.set(pair, runEnds[low - 1]);
    runEnds[low] = pair;
  }
  const run: LinePair[] = [];
  for (
    let pair = runEnds.at(-1);
    pair !== undefined;
    pair = predecessors.get(pair)
  )
    run.push(pair);
  return run.reverse();
}

/** Lines that occur exactly once in each text, in the same order in both. */
function findAnchors(
  from: readonly string[],
  to: readonly string[]
): readonly LinePair[] {
  const toIndexes = uniqueLines(to);
  const pairs: LinePair[] = [];
  for (const [line, fromIndex] of uniqueLines(from)) {
    const toIndex = toIndexes.get(line);
    if (toIndex !== undefined) pairs.push({from: fromIndex, to: toIndex});
  }
  return longestAscendingRun(pairs.sort((a, b) => a.from - b.from));
}

/** The change between two anchors, without equal lines at its ends. */
function changeBetween(
  from: readonly string[],
  to: readonly string[],
  start: LinePair,
  end: LinePair
): LineChange | undefined {
  let {from: fromStart, to: toStart} = start;
  let {from: fromEnd, to: toEnd} = end;
  while (
    fromStart < fromEnd &&
    toStart < toEnd &&
    from[fromStart] === to[toStart]
  ) {
    fromStart++;
    toStart++;
  }
  while (
    fromEnd > fromStart &&
    toEnd > toStart &&
    from[fromEnd - 1] === to[toEnd - 1]
  ) {
    fromEnd--;
    toEnd--;
  }
  if (fromStart === fromEnd && toStart === toEnd) return undefined;
  return {
    at: fromStart,
    removed: fromEnd - fromStart,
    added: to.slice(toStart, toEnd),
  };
}

/** Computes the difference that turns one file into the other. */
export function diffRules(
  from: RuleFileRevision,
  to: RuleFileRevision
): RuleDiff {
  const fromLines = from.text.split('\n');
  const toLines = to.text.split('\n');
  const ends = [
    ...findAnchors(fromLines, toLines),
    {from: fromLines.length, to: toLines.length},
  ];
  const changes: LineChange[] = [];
  let start: LinePair = {from: 0, to: 0};
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
 * Applies a difference. Returns undefined if it was made for another text, so
 * that the whole file has to be sent. The digest of the result is verified as
 * well: a wrong active line would go unnoticed until it misroutes a request.
 */
export function applyDiff(
  from: RuleFileRevision,
  diff: RuleDiff
): RuleFileRevision | undefined {
  if (diff.fromRevision !== from.revision) return undefined;
  if (diff.fromDigest !== textDigest(from.text)) return undefined;
  const lines = from.text.split('\n');
  for (const {at, removed, added} of diff.changes)
    lines.splice(at, removed, ...added);
  const text = lines.join('\n');
  if (textDigest(text) !== diff.toDigest) return undefined;
  return {revision: diff.toRevision, text};
}
