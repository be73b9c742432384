/** How a gateway speaks to targets that stand on their own. */

import type {IncomingMessage} from 'node:http';

/** What a forwarded request is to say beside what the caller sent. */
export interface ForwardFacts {
  /** Time that is left, milliseconds. */
  readonly remainingMs: number;
  /** Only this target may run it. */
  readonly targetId: string;
  readonly customer?: string;
  /** Where a stream is to go on; the caller's own wish when absent. */
  readonly lastEventId?: string;
}

/** Head of a target's answer. */
export interface TargetHead {
  readonly status: number;
  /** Attempt that it answers; absent when it does not say. */
  readonly attemptId?: string;
  /** The target states that it did not run the request. */
  readonly notRun: boolean;
  /** Whether it bears the target's proof. */
  readonly isSealed: boolean;
  readonly isStream: boolean;
  /** Whether the body is as the caller asked for it, without an encoding. */
  readonly isPlainBody: boolean;
}

/** Names and formats towards targets. */
export interface TargetCodec {
  /** Raw header list of a forwarded request, from that of the caller. */
  forwardHeaders(
    callerHeaders: readonly string[],
    facts: ForwardFacts
  ): string[];
  readHead(res: IncomingMessage): TargetHead;
  /** Raw header list for the caller. */
  answerHeaders(res: IncomingMessage): string[];
}
