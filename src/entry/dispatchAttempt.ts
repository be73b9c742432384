/** Sends one attempt to one target, and determines what its outcome proves. */

import type {IncomingMessage} from 'node:http';
import type {CancelSignal} from '../core/cancellation';
import {headerJson} from '../core/headerJson';
import {relayedHeaders, withoutHeader} from '../core/httpHeaders';
import {PROTOCOL_VERSION} from '../core/protocolVersion';
import {REFUSALS, Refusal} from '../core/refusal';
import {UpstreamError, sendUpstream} from '../core/upstream';
import {
  Announcement,
  DISPATCH_HEADER,
  Dispatch,
  DispatchReport,
  REPORT_HEADER,
} from '../core/wire';
import type {ClassifiedCall} from './call';
import {readDispatchReport} from './dispatchReport';
import type {EntryCore} from './entryCore';

const LAST_EVENT_HEADER = 'last-event-id';

/** Parameters of one attempt. */
export interface Attempt {
  readonly number: number;
  readonly target: Announcement;
  readonly cost: number;
  readonly claim?: Dispatch['claim'];
  readonly resumeFrom?: number;
  readonly signal: CancelSignal;
}

/** Outcome of an attempt; the body of a response is still to be read. */
export type AttemptOutcome =
  | {
      readonly kind: 'answered';
      readonly answer: IncomingMessage;
      readonly report: DispatchReport;
    }
  | {readonly kind: 'refused'; readonly refusal: Refusal};

/** A failed connection is a refusal: "outcome unknown" once bytes were sent. */
export async function dispatchAttempt(
  core: EntryCore,
  call: ClassifiedCall,
  attempt: Attempt
): Promise<AttemptOutcome> {
  const {target} = attempt;
  try {
    const answer = await sendUpstream({
      secure: true,
      host: target.host,
      port: target.port,
      agent:
        call.once === undefined ? core.keepAliveAgent : core.singleUseAgent,
      method: call.req.method ?? 'GET',
      path: call.req.url ?? '/',
      headers: dispatchHeaders(core, call, attempt),
      body: bodyOf(call),
      signal: attempt.signal,
    });
    return readHead(core, target, answer);
  } catch (err) {
    if (!(err instanceof UpstreamError)) throw err;
    core.load.failed(target.targetId, performance.now());
    const reason = err.sent ? 'outcome-unknown' : 'target-unreachable';
    const {targetId} = target;
    return {
      kind: 'refused',
      refusal: {reason, step: 'dispatch', peer: targetId, detail: err.message},
    };
  }
}

function bodyOf({
  req,
  body,
}: ClassifiedCall): Buffer | IncomingMessage | undefined {
  switch (body.kind) {
    case 'none':
      return undefined;
    case 'buffered':
      return body.bytes;
    case 'streaming':
      return req;
  }
}

function dispatchHeaders(
  core: EntryCore,
  call: ClassifiedCall,
  attempt: Attempt
): string[] {
  const dispatch: Dispatch = {
    requestId: call.requestId,
    entryId: core.entryId,
    customer: call.customer,
    pool: call.pool,
    revision: call.rules.revision,
    remainingMs: timeToStartMs(call, attempt),
    attempt: attempt.number,
    cost: attempt.cost,
    idempotent: call.once === undefined,
    agentBootId: attempt.target.agentBootId,
    claim: attempt.claim,
    resumeFrom: attempt.resumeFrom,
    stream: call.chat?.stream,
    priority: call.priority,
  };
  const own: Record<string, string> = {
    [DISPATCH_HEADER]: headerJson(dispatch),
    'marlpulley-protocol': PROTOCOL_VERSION,
  };
  const headers = relayedHeaders(call.req.rawHeaders, own);
  // A target that received the caller's Last-Event-ID would resume by itself.
  return call.chat === undefined
    ? headers
    : withoutHeader(headers, LAST_EVENT_HEADER);
}

/**
 * Time within which the request must start at the target. It is at most what is
 * left of the first-token limit, so that a request which queues for too long is
 * refused while its caller still waits for the first token.
 */
function timeToStartMs(
  {progress, limit, chat}: ClassifiedCall,
  {resumeFrom}: Attempt
): number {
  const leftMs = progress.remainingMs();
  if (
    chat === undefined ||
    limit.firstTokenMs === undefined ||
    resumeFrom !== undefined
  )
    return leftMs;
  const elapsedMs = limit.timeoutMs - leftMs;
  return Math.max(0, Math.min(leftMs, limit.firstTokenMs - elapsedMs));
}

/** A response without a report is not from an agent, so it proves nothing. */
function readHead(
  core: EntryCore,
  target: Announcement,
  answer: IncomingMessage
): AttemptOutcome {
  const report = readDispatchReport(answer.headers[REPORT_HEADER]);
  if (report === undefined) {
    answer.destroy();
    const detail = `status ${answer.statusCode} without a valid report`;
    return {
      kind: 'refused',
      refusal: {
        reason: 'outcome-unknown',
        step: 'dispatch',
        peer: target.targetId,
        detail,
      },
    };
  }
  core.load.reported(report, performance.now());
  core.sync.observeRevision(report.revision);
  if (report.refusal === undefined) return {kind: 'answered', answer, report};
  answer.resume();
  return {kind: 'refused', refusal: report.refusal};
}

/** Whether the entry may try another target after this refusal. */
export function mayTryElsewhere(
  refusal: Refusal,
  idempotent: boolean
): boolean {
  if (REFUSALS[refusal.reason].tryElsewhere) return true;
  return idempotent && refusal.reason === 'outcome-unknown';
}
