/**
 * Deadline and cancellation of one call, passed to every step that serves it.
 */

import {CancelSignal, Cancellation} from './cancellation';
import {refuse, Step} from './refusal';

/** Context of one call. Times are `performance.now()` milliseconds. */
export class CallContext {
  private readonly cancellation = new Cancellation();

  constructor(
    readonly requestId: string,
    private deadlineAt: number,
    private readonly processId: string
  ) {}

  get signal(): CancelSignal {
    return this.cancellation;
  }

  /** Milliseconds until the deadline, never negative. */
  remainingMs(): number {
    return Math.max(0, this.deadlineAt - performance.now());
  }

  /**
   * Replaces a deadline that was already met. The deadline of a stream is for
   * its first token; a stream that lasts longer could otherwise never be
   * resumed at another target.
   */
  renewDeadline(timeoutMs: number): void {
    this.deadlineAt = performance.now() + timeoutMs;
  }

  /** Stops all work of the call, for instance when the caller disconnects. */
  cancel(): void {
    this.cancellation.cancel();
  }

  /** Throws a `deadline-passed` refusal after the deadline. */
  assertBeforeDeadline(step: Step): void {
    if (this.remainingMs() > 0) return;
    throw refuse(
      'deadline-passed',
      step,
      this.processId,
      'the deadline has passed'
    );
  }
}
