/** Interface between a gateway and the targets that it calls without an agent. */

import type {IncomingMessage} from 'node:http';
import type {TargetNotice} from '../site/targetNotice';

/** Data that the gateway adds to a forwarded request. */
export interface ForwardContext {
  /** Time until the deadline, milliseconds. */
  readonly remainingMs: number;
  /** The only target that may run it. */
  readonly targetId: string;
  readonly customer?: string;
  /** Event after which a stream resumes; if absent, the caller's header stays. */
  readonly lastEventId?: string;
  /**
   * Rank of the request's urgency, 0 (the most urgent) to 9; if absent, the caller's
   * header stays.
   */
  readonly urgency?: number;
}

/** Status and headers of a target's response. */
export interface TargetHead {
  readonly status: number;
  /** Attempt that the response belongs to; absent when it names none. */
  readonly attemptId?: string;
  /** The target states that it did not run the request. */
  readonly notRun: boolean;
  /** Callers take the status for a promise that the request has not run. */
  readonly readsAsNotRun: boolean;
  /** Whether it carries the target's seal, which proves its origin. */
  readonly isSealed: boolean;
  readonly isStream: boolean;
  /** Whether the body has no content encoding. */
  readonly isPlainBody: boolean;
}

/** Header names of the target interface. */
export interface TargetCodec {
  /** Raw header list of a forwarded request, built from the caller's. */
  forwardHeaders(
    callerHeaders: readonly string[],
    context: ForwardContext
  ): string[];
  readHead(res: IncomingMessage): TargetHead;
  /** Undefined for a response of another target. */
  readNotice(res: IncomingMessage): TargetNotice | undefined;
  /** Raw header list for the caller. */
  responseHeaders(res: IncomingMessage): string[];
}
