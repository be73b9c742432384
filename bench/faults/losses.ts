/** Finds calls that were lost without a fault on their path that explains it. */

import {unreachable} from '../../src/core/errors';
import {
  Answered,
  CallResult,
  FaultInterval,
  FaultEvent,
  History,
  Sent,
  eventsOfKind,
} from './history';

/** Time after a fault during which its aftermath may still end calls. */
const FAULT_AFTERMATH_MS = 1_000;
/** Time from SIGTERM during which a loss counts as one of the shutdown; exceeds the drain time. */
const MAX_SHUTDOWN_MS = 10_000;

/** Whether the loss fell into the graceful shutdown of any process. */
export type LossCause = 'steady' | 'shutdown';

interface Loss {
  readonly sent: Sent;
  readonly answered: Answered;
  readonly detail: string;
}

/**
 * Lost calls that no fault explains. A kill, a freeze or a cut explains the loss
 * if it hits the entry or the pool of the call, or for a keyed call also control,
 * which decides claims. A graceful shutdown, a rule change or a fault elsewhere
 * explains no loss.
 */
export function unexplainedLosses(
  history: History,
  cause: LossCause
): readonly string[] {
  const disturbed = eventsOfKind(history, 'disturbed');
  const leavings = eventsOfKind(history, 'leaving');
  return losses(history)
    .filter(loss => !isExplained(disturbed, loss))
    .filter(loss => causeOf(leavings, loss) === cause)
    .map(
      ({sent, detail}) =>
        `${sent.callId} (${sent.call} at ${sent.entry}) was lost: ${detail}`
    );
}

/** A resend may report the loss of the key's first request, so it takes the time of that one. */
function losses(history: History): readonly Loss[] {
  const sent = new Map(
    eventsOfKind(history, 'sent').map(one => [one.callId, one])
  );
  const firstOfKey = new Map<string, number>();
  for (const {key, atMs} of sent.values())
    if (key !== undefined)
      firstOfKey.set(key, Math.min(atMs, firstOfKey.get(key) ?? atMs));
  return eventsOfKind(history, 'answered').flatMap(answered => {
    const call = sent.get(answered.callId);
    const detail = lossOf(answered.result);
    if (call === undefined || detail === undefined) return [];
    const atMs = firstOfKey.get(call.key ?? '') ?? call.atMs;
    return [{sent: {...call, atMs}, answered, detail}];
  });
}

/** Why a call was lost; undefined if it got a response or is known not to have run. */
function lossOf(result: CallResult): string | undefined {
  switch (result.kind) {
    case 'whole':
    case 'wrong':
      return undefined;
    case 'refused':
      // Another request with the key is still running: nothing is lost yet.
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
  disturbed: readonly FaultInterval[],
  {sent, answered}: Loss
): boolean {
  const pool =
    sent.call === 'once' || sent.call === 'read' ? 'allocation' : 'planner';
  const isOnPath = (process: string) =>
    process === sent.entry ||
    process.startsWith(`agent-${pool}-`) ||
    process.startsWith(`fake-${pool}-`) ||
    (sent.call === 'once' && process.startsWith('control-'));
  return disturbed.some(
    ({fromMs, toMs, processes}) =>
      fromMs <= answered.atMs &&
      sent.atMs <= toMs + FAULT_AFTERMATH_MS &&
      processes.some(isOnPath)
  );
}

function causeOf(
  leavings: readonly Extract<FaultEvent, {readonly kind: 'leaving'}>[],
  {sent, answered}: Loss
): LossCause {
  const isLeaving = leavings.some(
    ({atMs}) => atMs <= answered.atMs && sent.atMs <= atMs + MAX_SHUTDOWN_MS
  );
  return isLeaving ? 'shutdown' : 'steady';
}
