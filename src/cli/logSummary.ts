/**
 * What became of all requests in collected logs, and what was under way when a
 * caller got less than it asked for: the first look at a bad hour.
 */

import type {LogLine} from './logLine';
import {startOf} from './logLine';

/** What callers accept, milliseconds. */
export interface SummaryLimits {
  readonly firstEventMs: number;
  readonly pauseMs: number;
}

/** Requests of one service that ended alike for one cause. */
export interface SummaryRow {
  readonly service: string;
  readonly outcome: string;
  readonly cause: Cause;
  readonly requests: number;
}

/** What was under way, the most telling first. */
export type Cause =
  | 'restart'
  | 'no leader'
  | 'map switch'
  /** What bound the requests of the service, as the refusal tells. */
  | `limit: ${string}`
  | 'none known';

interface Span {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Passes are slow before a switch is planned, and until it is in force. */
const BEFORE_SWITCH_MS = 500;
const AFTER_SWITCH_MS = 300;
/** A node that started knows the document, the leader and targets after this. */
const RESTART_MS = 2_000;
/** A line that tells of a new leader may be missing. */
const NO_LEADER_MS = 5_000;

/** Rows by service, outcome and cause, the most frequent first. */
export function summarize(
  lines: readonly LogLine[],
  limits: SummaryLimits
): readonly SummaryRow[] {
  const sorted = [...lines].sort((a, b) => a.atMs - b.atMs);
  const spans = spansOf(sorted);
  const services = serviceByAttempt(sorted);
  const rows = new Map<string, SummaryRow>();
  for (const line of sorted) {
    const outcome = outcomeOf(line, limits);
    if (outcome === undefined) continue;
    const service = String(
      line.details['service'] ?? services.get(line.attemptId ?? '') ?? '-'
    );
    const cause = outcome === IN_TIME ? 'none known' : causeOf(line, spans);
    const key = `${service} ${outcome} ${cause}`;
    const requests = (rows.get(key)?.requests ?? 0) + 1;
    rows.set(key, {service, outcome, cause, requests});
  }
  return [...rows.values()].sort((a, b) => b.requests - a.requests);
}

const IN_TIME = 'in time';

/** Undefined for lines that end no request. */
function outcomeOf(
  {event, details}: LogLine,
  limits: SummaryLimits
): string | undefined {
  if (event === 'request.refused') {
    const {kind} = details['refusal'] as {readonly kind: string};
    return `refused: ${kind}`;
  }
  if (event !== 'request.attempt') return undefined;
  const end = String(details['end']);
  if (end !== 'answered') return `attempt ${end}`;
  if (Number(details['firstEventMs']) > limits.firstEventMs)
    return 'late: first event';
  if (Number(details['longestGapMs']) > limits.pauseMs) return 'late: a pause';
  return IN_TIME;
}

function causeOf(
  line: LogLine,
  spans: ReadonlyMap<Cause, readonly Span[]>
): Cause {
  const fromMs = startOf(line);
  for (const [cause, known] of spans)
    if (known.some(span => span.fromMs <= line.atMs && span.toMs >= fromMs))
      return cause;
  const {boundBy} = line.details;
  return typeof boundBy === 'string' ? `limit: ${boundBy}` : 'none known';
}

/** When each cause was under way, the most telling first. */
function spansOf(
  lines: readonly LogLine[]
): ReadonlyMap<Cause, readonly Span[]> {
  const withoutLeader = lines
    .filter(({event}) => event === 'leader.lost')
    .map(({atMs, process}): Span => {
      const isFound = (line: LogLine) =>
        line.event === 'leader.found' &&
        line.process === process &&
        line.atMs > atMs;
      const foundAtMs = lines.find(isFound)?.atMs ?? Infinity;
      return {fromMs: atMs, toMs: Math.min(foundAtMs, atMs + NO_LEADER_MS)};
    });
  const restarts = lines
    .filter(({event}) => event === 'process.started')
    .map(({atMs}) => ({fromMs: atMs, toMs: atMs + RESTART_MS}));
  const switches = lines
    .filter(({event}) => event === 'map.planned')
    .map(({atMs}) => ({
      fromMs: atMs - BEFORE_SWITCH_MS,
      toMs: atMs + AFTER_SWITCH_MS,
    }));
  return new Map<Cause, readonly Span[]>([
    ['restart', restarts],
    ['no leader', withoutLeader],
    ['map switch', switches],
  ]);
}

/** Refusals do not name their service; an attempt of the same request may. */
function serviceByAttempt(
  lines: readonly LogLine[]
): ReadonlyMap<string, string> {
  const services = new Map<string, string>();
  for (const {attemptId, details} of lines)
    if (attemptId !== undefined && typeof details['service'] === 'string')
      services.set(attemptId, details['service']);
  return services;
}
