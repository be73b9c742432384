/** Serves calls that may be repeated, and those without a key. */

import {endToEndHeaders, withHeaders} from '../core/httpHeaders';
import {cutOff, relayAnswer} from '../core/upstream';
import {Answered, Attempts} from './attempts';
import type {ClassifiedCall} from './call';
import type {EntryCore} from './entryCore';

/** Resolves once the answer has ended; rejects with RefusalError before it. */
export async function serveCall(
  core: EntryCore,
  call: ClassifiedCall
): Promise<void> {
  const answered = await withDeadline(call, () =>
    new Attempts(core, call).run()
  );
  try {
    await passOn(core, call, answered);
  } finally {
    answered.done();
  }
}

/** Cancels the attempts when the deadline passes or the caller goes away. */
export async function withDeadline<T>(
  call: ClassifiedCall,
  work: () => Promise<T>
): Promise<T> {
  const {progress, res} = call;
  const timer = setTimeout(
    () => progress.cancel('deadline'),
    progress.remainingMs()
  );
  const onClose = () => progress.cancel('the caller went away');
  res.once('close', onClose);
  try {
    return await work();
  } finally {
    clearTimeout(timer);
    res.off('close', onClose);
  }
}

async function passOn(
  core: EntryCore,
  call: ClassifiedCall,
  answered: Answered
): Promise<void> {
  const {res, progress, limit, customer, requestId} = call;
  const {answer, report} = answered;
  core.usage.add(customer, {requests: 1, queueMs: report.queuedMs});
  const own = {
    'marlpulley-request-id': requestId,
    'marlpulley-target': report.targetId,
  };
  res.writeHead(
    answer.statusCode ?? 502,
    answer.statusMessage,
    withHeaders(endToEndHeaders(answer.rawHeaders), own)
  );
  res.flushHeaders();
  // From here on the target is answering: only silence is an error.
  answer.setTimeout(limit.timeoutMs, () =>
    answer.destroy(new Error('the target fell silent'))
  );
  const end = await relayAnswer(answer, res);
  switch (end) {
    case 'complete':
      return;
    case 'source cut':
      // The head is out, so the only honest sign left is a broken connection:
      // neither chunked nor fixed-length readers take the rest for whole.
      core.metrics.count('stream.cut');
      call.logger.warn({target: report.targetId}, 'the answer broke off');
      cutOff(res);
      return;
    case 'sink closed':
      core.metrics.count('request.cancelled');
      progress.cancel('the caller went away');
      answer.destroy();
      return;
  }
}
