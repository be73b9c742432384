/** Checks the head of a target's response; nothing else may reach a caller. */

import type {IncomingMessage} from 'node:http';
import type {BodyFraming} from '../core/bodyFraming';
import {framingOf} from '../core/bodyFraming';
import type {TargetCodec, TargetHead} from '../ports/targetPort';
import type {RequestState} from './requestState';

const FIRST_SUCCESS = 200;
const FIRST_REDIRECT = 300;
const FIRST_SERVER_ERROR = 500;

/** What the head of a response says of the attempt that got it. */
export type CheckedHead =
  /** The target states that it did not run the request. */
  | {readonly kind: 'notRun'}
  /** The request may have run, and the response is not for its caller. */
  | {readonly kind: 'rejected'; readonly reason: string}
  | {readonly kind: 'relayable'; readonly head: RelayableHead};

/** Head of a response that may be relayed; only `check` makes one. */
export class RelayableHead {
  private constructor(
    readonly status: number,
    /** Flat list of names and values, as in `rawHeaders`. */
    readonly headers: readonly string[],
    readonly framing: BodyFraming,
    readonly isStream: boolean
  ) {}

  /** Whether it is a success, whose seal was checked. */
  get isSuccess(): boolean {
    return isSuccess(this);
  }

  /** Whether the target failed to serve the request. */
  get isServerError(): boolean {
    return this.status >= FIRST_SERVER_ERROR;
  }

  /** Whether a Content-Length or a last chunk marks the end of the target's body. */
  get isEndMarked(): boolean {
    return this.framing !== 'close';
  }

  static check(
    res: IncomingMessage,
    codec: TargetCodec,
    state: RequestState
  ): CheckedHead {
    const read = codec.readHead(res);
    if (read.notRun && isResponseTo(read, state) && !isSuccess(read))
      return {kind: 'notRun'};
    const reason = problemOf(read, state);
    if (reason !== undefined) return {kind: 'rejected', reason};
    const head = new RelayableHead(
      read.status,
      codec.responseHeaders(res),
      framingOf(res),
      read.isStream
    );
    return {kind: 'relayable', head};
  }
}

/** Whether the response is to this attempt, or names none. */
export function isResponseTo({attemptId}: TargetHead, {caller}: RequestState) {
  return attemptId === undefined || attemptId === caller.attemptId;
}

/** Why the response must not reach the caller; undefined if it may. */
function problemOf(
  head: TargetHead,
  {caller}: RequestState
): string | undefined {
  if (caller.attemptId !== undefined && head.attemptId !== caller.attemptId)
    return 'response to another request';
  if (!head.isPlainBody) return 'body with a content encoding';
  if (isSuccess(head) && !head.isSealed) return 'success without a seal';
  if (isSuccess(head) && head.notRun) return 'success that did not run';
  if (head.readsAsNotRun && !head.notRun)
    return 'refusal without the proof that nothing has run';
  return undefined;
}

function isSuccess({status}: {readonly status: number}): boolean {
  return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
}
