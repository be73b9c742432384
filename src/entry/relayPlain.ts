/** Relays every response that is not a token stream. */

import {EventBoundary} from '../core/eventBoundary';
import {relayedHeaders} from '../core/httpHeaders';
import {RefusalError} from '../core/refusal';
import {leaveEndUnmarked} from '../core/responseEnd';
import {trailersOf} from '../core/upstream';
import type {AnsweredAttempt, Attempts} from './attempts';
import type {ClassifiedCall} from './call';
import {callLogger} from './callLogger';
import {ChatUsage} from './chat/chatUsage';
import {
  ResponseRelayEnd,
  ResponseSource,
  relayResponse,
} from './chat/relayResponse';
import type {EntryCore} from './entryCore';
import {countTokens} from './countTokens';
import {isEventStream} from './relayChat';
import {withDeadline} from './serveCall';

/** Responses up to this size are held back until they are complete. */
const MAX_HELD_BYTES = 64 * 1024;

interface PlainSource extends ResponseSource {
  readonly answered: AnsweredAttempt;
}

/**
 * Resolves once the response is relayed, cut, or no longer wanted by the
 * caller; rejects with RefusalError when it was lost before the caller got any
 * of it.
 */
export async function relayPlain(
  core: EntryCore,
  call: ClassifiedCall,
  attempts: Attempts,
  answered: AnsweredAttempt
): Promise<void> {
  const {res, progress} = call;
  const usage = new ChatUsage();
  let current = answered;
  const repeatable = call.once === undefined && call.body.kind !== 'streaming';
  const retry = async (detail: string) => {
    core.metrics.count('request.retried', {reason: 'answer lost'});
    callLogger(core, call).info(
      {detail},
      'response lost before any of it was sent; trying another target'
    );
    current = await withDeadline(call, () => attempts.run());
    usage.reset();
    watchResponse(call, current, usage);
    return sourceOf(current);
  };
  watchResponse(call, answered, usage);
  const end = await relayResponse<PlainSource>({
    source: sourceOf(answered),
    caller: res,
    maxHeldBytes: maxHeldBytesOf(answered),
    signal: progress.signal,
    writeHead: source => writeHead(call, source.answered),
    writeEnd: source => {
      const trailers = trailersOf(source.answered.answer);
      if (trailers.length > 0) res.addTrailers(trailers);
      res.end();
    },
    retry: repeatable ? retry : undefined,
  });
  current.done();
  recordEnd(core, call, usage, current, end);
}

/**
 * Sets the idle timeout of the body and reads its token usage. The deadline of
 * the call covers the head only; once it has arrived, the body may take any
 * time as long as bytes keep coming. The same holds for the response of a
 * retry.
 */
function watchResponse(
  {limit, chat}: ClassifiedCall,
  {answer}: AnsweredAttempt,
  usage: ChatUsage
): void {
  answer.setTimeout(limit.timeoutMs, () =>
    answer.destroy(new Error('the target fell silent'))
  );
  if (chat !== undefined) answer.on('data', chunk => usage.addChunk(chunk));
}

/** Counts and logs how the relay ended; throws when nothing was written. */
function recordEnd(
  core: EntryCore,
  call: ClassifiedCall,
  usage: ChatUsage,
  current: AnsweredAttempt,
  end: ResponseRelayEnd<PlainSource>
): void {
  switch (end.kind) {
    case 'done':
      if (call.chat !== undefined)
        countTokens(core, call, usage.completionTokens());
      return;
    case 'caller gone':
      core.metrics.count('request.cancelled');
      return;
    case 'cut':
      core.metrics.count('stream.cut');
      callLogger(core, call).warn(
        {detail: end.detail},
        'response cut after its head was sent'
      );
      return;
    case 'lost':
      if (end.err instanceof RefusalError) throw end.err;
      throw new RefusalError({
        reason: 'outcome-unknown',
        step: 'answer',
        peer: current.target.targetId,
        detail: end.detail,
      });
  }
}

/** A response without a length may be an endless feed; it is not held back. */
function maxHeldBytesOf({answer}: AnsweredAttempt): number {
  return answer.headers['content-length'] === undefined ? 0 : MAX_HELD_BYTES;
}

function writeHead(
  {res, requestId}: ClassifiedCall,
  {answer, report}: AnsweredAttempt
): void {
  const own = {
    'marlpulley-request-id': requestId,
    'marlpulley-target': report.targetId,
  };
  const headers = relayedHeaders(answer.rawHeaders, own);
  if (report.endUnmarked === true) leaveEndUnmarked(res);
  res.writeHead(answer.statusCode ?? 502, answer.statusMessage, headers);
}

function sourceOf(answered: AnsweredAttempt): PlainSource {
  const {answer} = answered;
  const boundary = new EventBoundary();
  if (isEventStream(answered))
    answer.on('data', (chunk: Buffer) => boundary.add(chunk));
  return {
    answered,
    body: answer,
    complete: () => answer.complete && boundary.isReached,
    cancel: () => {
      answered.done();
      answer.destroy();
    },
  };
}
