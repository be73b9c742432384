/**
 * Counts the requests in collected logs by outcome and by what was under way
 * when they were late or refused, as a first overview of an incident.
 */

import type {LogLine} from './logLine';
import {startMsOf} from './logLine';

/** Limits above which a response counts as late. */
export interface LatencyLimits {
  readonly firstEventMs: number;
  readonly pauseMs: number;
}

/** Number of requests of one service with the same outcome and cause. */
export interface SummaryRow {
  readonly service: string;
  readonly outcome: string;
  readonly cause: Cause;
  readonly requests: number;
}

/** What was under way during a request, the most likely cause first. */
export type Cause =
  | 'restart'
  | 'no leader'
  | 'map switch'
  /** Urgency whose admission ratio refused the request. */
  | `admission ratio of urgency ${string}`
  /** The limit that was reached, as logged with the refusal. */
  | `limit: ${string}`
  | 'none known';

interface TimeSpan {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Passes are slow for this long before a map switch is planned. */
const SLOW_BEFORE_PLAN_MS = 500;
/** Passes stay slow for this long, until the planned map is active. */
const SLOW_AFTER_PLAN_MS = 300;
/**
 * A restarted node knows the site document, the leader and the targets after
 * this time.
 */
const RESTART_RECOVERY_MS = 2_000;
/**
 * Bound of a leaderless period, as its `leader.found` line may be missing from
 * the logs.
 */
const MAX_LEADERLESS_MS = 5_000;

/** Counts requests by service, outcome and cause, the most frequent first. */
export function summarize(
  lines: readonly LogLine[],
  limits: LatencyLimits
): readonly SummaryRow[] {
  const sorted = [...lines].sort((a, b) => a.atMs - b.atMs);
  const spans = spansByCause(sorted);
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

/**
 * Outcome that a line reports; undefined for lines that do not end a request or
 * an attempt.
 */
function outcomeOf(
  {event, details}: LogLine,
  limits: LatencyLimits
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
  spans: ReadonlyMap<Cause, readonly TimeSpan[]>
): Cause {
  // The refusal states its cause; what was under way may be unrelated.
  const {refusedBy, urgency} = line.details;
  if (refusedBy === 'ratio' && typeof urgency === 'string')
    return `admission ratio of urgency ${urgency}`;
  const fromMs = startMsOf(line);
  for (const [cause, causeSpans] of spans)
    if (
      causeSpans.some(span => span.fromMs <= line.atMs && span.toMs >= fromMs)
    )
      return cause;
  const {boundBy} = line.details;
  return typeof boundBy === 'string' ? `limit: ${boundBy}` : 'none known';
}

/** The time spans of each cause, the most likely cause first. */
function spansByCause(
  lines: readonly LogLine[]
): ReadonlyMap<Cause, readonly TimeSpan[]> {
  const leaderless = lines
    .filter(({event}) => event === 'leader.lost')
    .map(({atMs, process}): TimeSpan => {
      const isFound = (line: LogLine) =>
        line.event === 'leader.found' &&
        line.process === process &&
        line.atMs > atMs;
      const foundAtMs = lines.find(isFound)?.atMs ?? Infinity;
      return {
        fromMs: atMs,
        toMs: Math.min(foundAtMs, atMs + MAX_LEADERLESS_MS),
      };
    });
  const restarts = lines
    .filter(({event}) => event === 'process.started')
    .map(({atMs}) => ({fromMs: atMs, toMs: atMs + RESTART_RECOVERY_MS}));
  const switches = lines
    .filter(({event}) => event === 'map.planned')
    .map(({atMs}) => ({
      fromMs: atMs - SLOW_BEFORE_PLAN_MS,
      toMs: atMs + SLOW_AFTER_PLAN_MS,
    }));
  return new Map<Cause, readonly TimeSpan[]>([
    ['restart', restarts],
    ['no leader', leaderless],
    ['map switch', switches],
  ]);
}

/**
 * Service of each request, from its attempts: a refusal may not name its
 * service.
 */
function serviceByAttempt(
  lines: readonly LogLine[]
): ReadonlyMap<string, string> {
  const services = new Map<string, string>();
  for (const {attemptId, details} of lines)
    if (attemptId !== undefined && typeof details['service'] === 'string')
      services.set(attemptId, details['service']);
  return services;
}
