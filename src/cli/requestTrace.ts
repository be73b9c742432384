/**
 * Selects the log lines that concern one request from the collected logs of
 * many nodes: its own lines, and the state changes of nodes shortly before and
 * while it was in progress.
 */

import type {LogLine} from './logLine';
import {parseLogLine, startMsOf} from './logLine';

/** One line of the trace. */
export interface TraceLine {
  /** Whether the line names the request. */
  readonly isOwn: boolean;
  readonly text: string;
}

/**
 * State changes this long before the request are included: a planned map or a
 * lost leader affects requests that begin later.
 */
const CONTEXT_BEFORE_MS = 500;
/**
 * Events that report state changes of nodes; events of other requests are left
 * out.
 */
const CONTEXT_EVENTS = /^(map|leader|log|site|process|disk|settings|change)\./;

/**
 * Lines that concern the request, by time; empty if no line has its id. With the digest
 * of a request these are the lines of all its tries.
 */
export function traceRequest(
  texts: readonly string[],
  id: string
): readonly TraceLine[] {
  const lines = texts.flatMap(text => parseLogLine(text) ?? []);
  const requestLines = lines.filter(line => isAbout(line, id));
  if (requestLines.length === 0) return [];
  const fromMs = Math.min(...requestLines.map(startMsOf)) - CONTEXT_BEFORE_MS;
  const toMs = Math.max(...requestLines.map(({atMs}) => atMs));
  const context = lines.filter(
    line =>
      line.attemptId === undefined &&
      !isAbout(line, id) &&
      CONTEXT_EVENTS.test(line.event) &&
      line.atMs >= fromMs &&
      line.atMs <= toMs
  );
  return [...requestLines, ...context]
    .sort((a, b) => a.atMs - b.atMs)
    .map(line => ({
      isOwn: isAbout(line, id),
      text: formatLine(line, fromMs + CONTEXT_BEFORE_MS),
    }));
}

/** Whether a line names the request, by an attempt id or by its digest. */
function isAbout({attemptId, details}: LogLine, id: string): boolean {
  const {requestDigest, requestDigests} = details;
  return (
    attemptId === id ||
    requestDigest === id ||
    (Array.isArray(requestDigests) && requestDigests.includes(id))
  );
}

function formatLine(
  {atMs, process, event, details}: LogLine,
  requestStartMs: number
) {
  const offsetMs = String(Math.round(atMs - requestStartMs)).padStart(6);
  return `${offsetMs} ms  ${process}  ${event}  ${JSON.stringify(details)}`;
}
