/** Carries the deadline and the cancellation of one call through every step. */

import {CancelSignal, Cancellation} from './cancellation';
import {refuse, Step} from './refusal';

/** Deadline and cancel of a call. Times are `performance.now()` milliseconds. */
export class Progress {
  private readonly cancellation = new Cancellation();

  constructor(
    readonly requestId: string,
    private deadlineAt: number,
    private readonly processId: string
  ) {}

  get signal(): CancelSignal {
    return this.cancellation;
  }

  /** Milliseconds left, never negative. */
  remainingMs(): number {
    return Math.max(0, this.deadlineAt - performance.now());
  }

  /**
   * A new deadline for work that has met its first: a stream under way outlives
   * the time to its head, and could otherwise never go on at another target.
   */
  renew(timeoutMs: number): void {
    this.deadlineAt = performance.now() + timeoutMs;
  }

  /** Stops all work of the call, for instance when the caller has gone. */
  cancel(): void {
    this.cancellation.cancel();
  }

  /** Throws `deadline-passed` once nothing can be answered in time. */
  assertInTime(step: Step): void {
    if (this.remainingMs() > 0) return;
    throw refuse(
      'deadline-passed',
      step,
      this.processId,
      'the deadline has passed'
    );
  }
}
