/** Serves idempotent calls, and non-idempotent calls without a key. */

import {Attempts} from './attempts';
import type {ClassifiedCall} from './call';
import type {EntryCore} from './entryCore';
import {isEventStream, relayChat} from './relayChat';
import {relayPlain} from './relayPlain';

/** Resolves once the response has ended; rejects if it was never begun. */
export async function serveCall(
  core: EntryCore,
  call: ClassifiedCall
): Promise<void> {
  const attempts = new Attempts(core, call);
  const answered = await withDeadline(call, () => attempts.run(call.resume));
  core.usage.add(call.customer, {
    requests: 1,
    queueMs: answered.report.queuedMs,
  });
  const relay =
    call.chat?.stream === true && isEventStream(answered)
      ? relayChat
      : relayPlain;
  await relay(core, call, attempts, answered);
}

/** Cancels the attempts when the deadline passes or the caller disconnects. */
export async function withDeadline<T>(
  call: ClassifiedCall,
  work: () => Promise<T>
): Promise<T> {
  const {progress, res} = call;
  const timer = setTimeout(() => progress.cancel(), progress.remainingMs());
  const onClose = () => progress.cancel();
  res.once('close', onClose);
  try {
    return await work();
  } finally {
    clearTimeout(timer);
    res.off('close', onClose);
  }
}
