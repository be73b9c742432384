/** Relays a token stream, resuming it at another target after a loss. */

import {relayedHeaders, withoutHeader} from '../core/httpHeaders';
import {REFUSALS, Refusal} from '../core/refusal';
import type {AnsweredAttempt, Attempts} from './attempts';
import type {ClassifiedCall} from './call';
import {callLogger} from './callLogger';
import {StreamSource, relayStream} from './chat/streamResumer';
import type {EntryCore} from './entryCore';
import {countTokens} from './countTokens';
import {withDeadline} from './serveCall';

const MAX_CONSECUTIVE_LOSSES = 3;
const MAX_EVENT_CHARS = 1024 * 1024;
/** A longer gap between two tokens means that the target has stalled. */
const TOKEN_TIMEOUT_MS = 5_000;
const CALLER_READ_TIMEOUT_MS = 60_000;
const HTTP_OK = 200;

/** Whether a response is a token stream. */
export function isEventStream({answer}: AnsweredAttempt): boolean {
  const type = answer.headers['content-type'] ?? '';
  return answer.statusCode === HTTP_OK && type.startsWith('text/event-stream');
}

/** Resolves once the caller has the whole stream, an error, or disconnects. */
export async function relayChat(
  core: EntryCore,
  call: ClassifiedCall,
  attempts: Attempts,
  answered: AnsweredAttempt
): Promise<void> {
  const {res, limit, resume, progress} = call;
  writeHead(call, answered);
  let current = answered;
  const end = await relayStream({
    source: sourceOf(answered),
    caller: res,
    limits: {
      fromToken: resume?.fromToken ?? 0,
      modelVersion: resume?.modelVersion,
      maxLosses: MAX_CONSECUTIVE_LOSSES,
      maxEventChars: MAX_EVENT_CHARS,
    },
    firstTokenTimeoutMs: limit.firstTokenMs ?? limit.timeoutMs,
    tokenTimeoutMs: TOKEN_TIMEOUT_MS,
    callerTimeoutMs: CALLER_READ_TIMEOUT_MS,
    signal: progress.signal,
    reopen: async point => {
      progress.renewDeadline(limit.timeoutMs);
      current = await withDeadline(call, () => attempts.run(point));
      if (isEventStream(current)) return sourceOf(current);
      sourceOf(current).cancel();
      throw new Error(`status ${current.answer.statusCode} to a resumption`);
    },
    errorEventData: refusal => formatErrorEvent(call, refusal),
    onResumed: cause => core.metrics.count('stream.resumed', {reason: cause}),
    onTokens: count => countTokens(core, call, count),
  });
  current.done();
  if (end.kind === 'cut') {
    core.metrics.count('stream.cut');
    callLogger(core, call).warn(
      {refusal: end.refusal},
      'token stream cut before its end'
    );
  }
  if (end.kind === 'caller gone') core.metrics.count('request.cancelled');
}

function writeHead(
  {res, requestId}: ClassifiedCall,
  {answer, report, target}: AnsweredAttempt
): void {
  const own: Record<string, string> = {
    'marlpulley-request-id': requestId,
    'marlpulley-target': report.targetId,
  };
  if (target.modelVersion !== undefined)
    own['marlpulley-model-version'] = target.modelVersion;
  // A stream that goes on elsewhere keeps no length that its first head named.
  const relayed = relayedHeaders(answer.rawHeaders, own);
  const headers = withoutHeader(relayed, 'content-length');
  res.writeHead(HTTP_OK, headers);
  res.flushHeaders();
}

function sourceOf(answered: AnsweredAttempt): StreamSource {
  const {answer, target} = answered;
  return {
    body: answer,
    peer: target.targetId,
    modelVersion: target.modelVersion,
    cancel: () => {
      answered.done();
      answer.destroy();
    },
  };
}

function formatErrorEvent(
  {requestId}: ClassifiedCall,
  refusal: Refusal
): string {
  const {outcome, retryable} = REFUSALS[refusal.reason];
  return JSON.stringify({error: {...refusal, outcome, retryable, requestId}});
}
