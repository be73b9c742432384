/** Passes any other answer on, whole or not at all. */

import {relayedHeaders} from '../core/httpHeaders';
import {RefusalError} from '../core/refusal';
import {trailersOf} from '../core/upstream';
import type {Answered, Attempts} from './attempts';
import type {ClassifiedCall} from './call';
import {callLogger} from './callLogger';
import {ChatUsage} from './chat/chatUsage';
import {WholeEnd, WholeSource, relayWhole} from './chat/wholeAnswer';
import type {EntryCore} from './entryCore';
import {countTokens} from './countTokens';
import {withDeadline} from './serveCall';

/** Answers up to this size are held until they are whole. */
const HOLD_BYTES = 64 * 1024;

interface PlainSource extends WholeSource {
  readonly answered: Answered;
}

/** Resolves once the answer is passed on; rejects when it was lost unseen. */
export async function relayPlain(
  core: EntryCore,
  call: ClassifiedCall,
  attempts: Attempts,
  answered: Answered
): Promise<void> {
  const {res, progress} = call;
  const usage = new ChatUsage();
  let current = answered;
  const repeatable = call.once === undefined && call.body.kind !== 'streaming';
  const retry = async (detail: string) => {
    core.metrics.count('request.retried', {reason: 'answer lost'});
    callLogger(core, call).info({detail}, 'answer lost; trying another target');
    attempts.answerLost();
    current = await withDeadline(call, () => attempts.run());
    usage.reset();
    watch(call, current, usage);
    return sourceOf(current);
  };
  watch(call, answered, usage);
  const end = await relayWhole<PlainSource>({
    source: sourceOf(answered),
    caller: res,
    holdBytes: holdBytes(answered),
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
  ended(core, call, usage, current, end);
}

/**
 * The head has come in time; from here on only silence is an error, for the
 * answer of a second target as well.
 */
function watch(
  {limit, chat}: ClassifiedCall,
  {answer}: Answered,
  usage: ChatUsage
): void {
  answer.setTimeout(limit.timeoutMs, () =>
    answer.destroy(new Error('the target fell silent'))
  );
  if (chat !== undefined) answer.on('data', chunk => usage.take(chunk));
}

/** Accounts for how the relay ended; throws when nothing was written. */
function ended(
  core: EntryCore,
  call: ClassifiedCall,
  usage: ChatUsage,
  current: Answered,
  end: WholeEnd<PlainSource>
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
      callLogger(core, call).warn({detail: end.detail}, 'the answer broke off');
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

/** An answer without a length may be a feed: it is not held back at all. */
function holdBytes({answer}: Answered): number {
  return answer.headers['content-length'] === undefined ? 0 : HOLD_BYTES;
}

function writeHead(
  {res, requestId}: ClassifiedCall,
  {answer, report}: Answered
): void {
  const own = {
    'marlpulley-request-id': requestId,
    'marlpulley-target': report.targetId,
  };
  const headers = relayedHeaders(answer.rawHeaders, own);
  res.writeHead(answer.statusCode ?? 502, answer.statusMessage, headers);
}

function sourceOf(answered: Answered): PlainSource {
  const {answer} = answered;
  return {
    answered,
    body: answer,
    complete: () => answer.complete,
    cancel: () => {
      answered.done();
      answer.destroy();
    },
  };
}
