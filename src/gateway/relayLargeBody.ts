/** Relays a body that is too large to be held, at the pace of the caller. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import {unreachable} from '../core/errors';
import {abortResponse, leaveEndUnmarked} from '../core/responseEnd';
import type {BodyEnd} from '../core/upstream';
import {relayBody} from '../core/upstream';
import type {AttemptEnd} from './attemptEnd';
import {closeOnCancel} from './closeOnCancel';
import type {RelayableHead} from './relayableHead';
import type {RequestState} from './requestState';
import type {ServicePool} from './servicePool';

/** A response that is relayed while it arrives. */
export interface LargeResponse {
  readonly res: IncomingMessage;
  readonly head: RelayableHead;
  /** What was read of the body. */
  readonly begun: Buffer;
  readonly targetId: string;
  /** Time until it was known to be large, milliseconds. */
  readonly latencyMs: number;
}

/** Relays the response; another attempt can't follow. Aborts it if it is cut. */
export async function relayLargeBody(
  state: RequestState,
  pool: ServicePool,
  {res, head, begun, targetId, latencyMs}: LargeResponse
): Promise<AttemptEnd> {
  const caller = state.res;
  const release = closeOnCancel(state.cancellation, res);
  const end = await writeBody(res, caller, head, begun);
  release();
  // The target isn't to blame for what its caller reads too slowly.
  const isCallerSlow = caller.writableNeedDrain;
  const nowMs = performance.now();
  switch (end) {
    case 'complete':
      pool.noteAttempt(targetId, {kind: 'good', latencyMs}, nowMs);
      return {kind: 'answered'};
    case 'source cut':
      abortResponse(caller);
      if (!isCallerSlow) pool.noteAttempt(targetId, {kind: 'failed'}, nowMs);
      return {kind: 'cut', reason: state.stopped ?? 'incomplete body'};
    case 'sink closed':
      res.destroy();
      return {kind: 'stopped'};
    default:
      return unreachable(end);
  }
}

async function writeBody(
  source: IncomingMessage,
  caller: ServerResponse,
  head: RelayableHead,
  begun: Buffer
): Promise<BodyEnd> {
  if (caller.destroyed) return 'sink closed';
  if (source.destroyed) return 'source cut';
  if (!head.isEndMarked) leaveEndUnmarked(caller);
  caller.writeHead(head.status, [...head.headers]);
  const mustDrain = begun.length > 0 && !caller.write(begun);
  const end = relayBody(source, caller);
  // It was paused when no more could be held; a caller that drains resumes it.
  if (!mustDrain) source.resume();
  return end;
}
