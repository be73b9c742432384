/**
 * What a node believes of a target from its own calls. Health checks may say
 * anything: a target that fails half of its requests answers them well.
 */

/** How one attempt at the target ended. */
export type AttemptSign =
  | {readonly kind: 'good'; readonly latencyMs: number}
  /** It failed a request that it had taken, or gave no answer. */
  | {readonly kind: 'failed'}
  /** No connection came about. */
  | {readonly kind: 'unreachable'}
  /** It was full, and said so. */
  | {readonly kind: 'full'};

/** Weight of one attempt. Ten attempts tell a grey target from a good one. */
const SMOOTHING = 0.2;
/** Pause after the first failure to connect, milliseconds; doubles each time. */
const FIRST_PAUSE_MS = 250;
const LONGEST_PAUSE_MS = 4_000;
/** Pause after it was full: its queue moves within a pass or two. */
const FULL_PAUSE_MS = 60;
/** Failures in a row after which the target is left alone for a while. */
const FAILURES_IN_ROW = 3;

/** One target as one node sees it. */
export class TargetHealth {
  private failing = 0;
  private latency = 0;
  private inRow = 0;
  private pausedUntilMs = -Infinity;

  /** Part of its requests that it failed lately, 0 to 1. */
  get failureRate(): number {
    return this.failing;
  }

  /** Smoothed time to an answer; 0 before the first. */
  get latencyMs(): number {
    return this.latency;
  }

  /** Whether it is left alone for now. */
  isPaused(nowMs: number): boolean {
    return nowMs < this.pausedUntilMs;
  }

  note(sign: AttemptSign, nowMs: number): void {
    switch (sign.kind) {
      case 'good':
        this.inRow = 0;
        this.failing -= this.failing * SMOOTHING;
        this.latency +=
          (sign.latencyMs - this.latency) *
          (this.latency === 0 ? 1 : SMOOTHING);
        return;
      case 'full':
        this.pausedUntilMs = Math.max(
          this.pausedUntilMs,
          nowMs + FULL_PAUSE_MS
        );
        return;
      case 'failed':
        this.failing += (1 - this.failing) * SMOOTHING;
        this.inRow++;
        if (this.inRow >= FAILURES_IN_ROW) this.pause(nowMs);
        return;
      case 'unreachable':
        this.inRow++;
        this.pause(nowMs);
        return;
    }
  }

  private pause(nowMs: number): void {
    const doubled = FIRST_PAUSE_MS * 2 ** Math.min(8, this.inRow - 1);
    this.pausedUntilMs = nowMs + Math.min(LONGEST_PAUSE_MS, doubled);
  }
}
