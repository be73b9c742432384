/** Logs and counts an attempt. */

import {rounded} from '../core/rounded';
import type {AttemptEnd, ResponseTrace} from './attemptEnd';
import type {Gateway} from './gateway';
import type {RequestState, RoutedRequest} from './requestState';

/** An attempt that has ended. */
export interface EndedAttempt {
  readonly targetId: string;
  readonly end: AttemptEnd;
  readonly trace: ResponseTrace;
  readonly tookMs: number;
  /** Id of the last event that the caller got, of all attempts. */
  readonly lastEventId: string | undefined;
  /** Targets that the request was sent to so far. */
  readonly sendCount: number;
}

/** Writes the log line of an attempt and counts it. */
export function logAttempt(
  gateway: Gateway,
  state: RequestState,
  routed: RoutedRequest,
  {targetId, end, trace, tookMs, lastEventId, sendCount}: EndedAttempt
): void {
  const {logger, metrics} = gateway.parts;
  const {name} = routed.service;
  const {framing, connection, eventCount} = trace;
  metrics.attempted(name, end.kind, tookMs);
  if (framing !== undefined) metrics.responded(name, framing, end.kind);
  if (end.kind === 'answered') metrics.answered(name, state.marks);
  logger.info(
    {
      event: 'request.attempt',
      attemptId: state.caller.attemptId,
      requestDigest: state.digest,
      service: name,
      target: targetId,
      end: end.kind,
      reason: 'reason' in end ? end.reason : undefined,
      tookMs: Math.round(tookMs),
      ...rounded(state.marks),
      framing,
      events: eventCount,
      connectionError: connection?.error,
      lastEventId,
      sendCount,
      sharedParts: state.caller.sharedParts.length,
    },
    end.kind
  );
}
