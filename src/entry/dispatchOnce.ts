/** One attempt at one target: the dispatch, and what its outcome proves. */

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
import type {EntryCore} from './entryCore';

const LAST_EVENT_HEADER = 'last-event-id';

/** One attempt. */
export interface Attempt {
  readonly number: number;
  readonly target: Announcement;
  readonly cost: number;
  readonly claim?: Dispatch['claim'];
  readonly resumeFrom?: number;
  readonly signal: CancelSignal;
}

/** What came of it; the body of an answer is still to be read. */
export type AttemptOutcome =
  | {
      readonly kind: 'answered';
      readonly answer: IncomingMessage;
      readonly report: DispatchReport;
    }
  | {readonly kind: 'refused'; readonly refusal: Refusal};

/** Never rejects: every failure is an outcome that says what it proves. */
export async function dispatchOnce(
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
      agent: call.once === undefined ? core.keptAgent : core.singleAgent,
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
    remainingMs: startWithinMs(call, attempt),
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
  if (call.body.kind === 'buffered')
    own['content-length'] = String(call.body.bytes.length);
  const headers = relayedHeaders(call.req.rawHeaders, own);
  // A target that saw the caller's own header would resume unasked.
  return call.chat === undefined
    ? headers
    : withoutHeader(headers, LAST_EVENT_HEADER);
}

/**
 * Time in which the request must start. One that waits longer than a caller
 * waits for the first token gets its refusal while it can still be of use.
 */
function startWithinMs(
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

/** An answer without a report did not come from an agent, so proves nothing. */
function readHead(
  core: EntryCore,
  target: Announcement,
  answer: IncomingMessage
): AttemptOutcome {
  const header = answer.headers[REPORT_HEADER];
  if (typeof header !== 'string') {
    answer.destroy();
    const detail = `status ${answer.statusCode} without a report`;
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
  const report = JSON.parse(header) as DispatchReport;
  core.load.reported(report, performance.now());
  core.sync.sawRevision(report.revision);
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
