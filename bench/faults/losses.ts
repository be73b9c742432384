/** Calls that were lost though no fault on their way explains it. */

import {unreachable} from '../../src/core/errors';
import {
  Answered,
  CallResult,
  Disturbed,
  FaultEvent,
  History,
  Sent,
  ofKind,
} from './history';

/** What a fault leaves behind may end calls for this long after it. */
const AFTERMATH_MS = 1_000;
/** From SIGTERM on; a leaving process is gone after its drain time. */
const SHUTDOWN_MS = 10_000;

/** Whether the loss fell into the graceful shutdown of some process. */
export type LossCause = 'steady' | 'shutdown';

interface Loss {
  readonly sent: Sent;
  readonly answered: Answered;
  readonly detail: string;
}

/**
 * A caller may lose an answer to a kill, a freeze or a cut of its entry or of
 * its pool; for a keyed call also to one of control, which settles claims. A
 * graceful shutdown, a rule change and a fault elsewhere explain no loss.
 */
export function unexplainedLosses(
  history: History,
  cause: LossCause
): readonly string[] {
  const disturbed = ofKind(history, 'disturbed');
  const leavings = ofKind(history, 'leaving');
  return losses(history)
    .filter(loss => !isExplained(disturbed, loss))
    .filter(loss => causeOf(leavings, loss) === cause)
    .map(
      ({sent, detail}) =>
        `${sent.callId} (${sent.call} at ${sent.entry}) was lost: ${detail}`
    );
}

/** A resend speaks of its key's first sending, so it is judged by that time. */
function losses(history: History): readonly Loss[] {
  const sent = new Map(ofKind(history, 'sent').map(one => [one.callId, one]));
  const firstOfKey = new Map<string, number>();
  for (const {key, atMs} of sent.values())
    if (key !== undefined)
      firstOfKey.set(key, Math.min(atMs, firstOfKey.get(key) ?? atMs));
  return ofKind(history, 'answered').flatMap(answered => {
    const call = sent.get(answered.callId);
    const detail = lossOf(answered.result);
    if (call === undefined || detail === undefined) return [];
    const atMs = firstOfKey.get(call.key ?? '') ?? call.atMs;
    return [{sent: {...call, atMs}, answered, detail}];
  });
}

/** Undefined when the caller was answered, or knows that nothing ran. */
function lossOf(result: CallResult): string | undefined {
  switch (result.kind) {
    case 'whole':
    case 'wrong':
      return undefined;
    case 'refused':
      // Another sending under the key is in work: nothing is lost yet.
      if (result.outcome === 'not run') return undefined;
      return result.reason === 'in-progress' ? undefined : result.reason;
    case 'broken':
      return result.detail;
    case 'silent':
      return 'no answer';
    default:
      return unreachable(result);
  }
}

function isExplained(
  disturbed: readonly Disturbed[],
  {sent, answered}: Loss
): boolean {
  const pool =
    sent.call === 'once' || sent.call === 'read' ? 'allocation' : 'planner';
  const isOnTheWay = (process: string) =>
    process === sent.entry ||
    process.startsWith(`agent-${pool}-`) ||
    process.startsWith(`fake-${pool}-`) ||
    (sent.call === 'once' && process.startsWith('control-'));
  return disturbed.some(
    ({fromMs, toMs, processes}) =>
      fromMs <= answered.atMs &&
      sent.atMs <= toMs + AFTERMATH_MS &&
      processes.some(isOnTheWay)
  );
}

function causeOf(
  leavings: readonly Extract<FaultEvent, {readonly kind: 'leaving'}>[],
  {sent, answered}: Loss
): LossCause {
  const isLeaving = leavings.some(
    ({atMs}) => atMs <= answered.atMs && sent.atMs <= atMs + SHUTDOWN_MS
  );
  return isLeaving ? 'shutdown' : 'steady';
}
