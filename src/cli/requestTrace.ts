/**
 * Picks what the collected logs of many nodes say about one request: its own
 * lines, and what nodes came to believe while it was under way.
 */

import type {LogLine} from './logLine';
import {readLine, startOf} from './logLine';

/** What an engineer is shown of one line. */
export interface TraceLine {
  /** Whether the line names the request. */
  readonly isOwn: boolean;
  readonly text: string;
}

/** Beliefs change before they hurt: maps are planned, leaders are lost. */
const BEFORE_MS = 500;
/** Events that say what nodes believe; those of other requests are left out. */
const BELIEFS = /^(map|leader|log|site|process|disk|settings|change)\./;
/** Lines about the request in the order of time; none when no line names it. */
export function traceRequest(
  texts: readonly string[],
  attemptId: string
): readonly TraceLine[] {
  const lines = texts.flatMap(text => readLine(text) ?? []);
  const own = lines.filter(line => line.attemptId === attemptId);
  if (own.length === 0) return [];
  const fromMs = Math.min(...own.map(startOf)) - BEFORE_MS;
  const toMs = Math.max(...own.map(({atMs}) => atMs));
  const context = lines.filter(
    ({atMs, event, attemptId: other}) =>
      other === undefined &&
      BELIEFS.test(event) &&
      atMs >= fromMs &&
      atMs <= toMs
  );
  return [...own, ...context]
    .sort((a, b) => a.atMs - b.atMs)
    .map(line => ({
      isOwn: line.attemptId === attemptId,
      text: printLine(line, fromMs + BEFORE_MS),
    }));
}

function printLine({atMs, process, event, details}: LogLine, startMs: number) {
  const sinceMs = String(Math.round(atMs - startMs)).padStart(6);
  return `${sinceMs} ms  ${process}  ${event}  ${JSON.stringify(details)}`;
}
