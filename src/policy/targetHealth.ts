/**
 * Passive health of a target, from the attempts of one node. Health checks are not
 * enough: a target that fails half of its requests may still pass them.
 */

/** Result of one attempt at the target. */
export type AttemptResult =
  | {readonly kind: 'good'; readonly latencyMs: number}
  /** The target failed a request that it had accepted, or did not respond. */
  | {readonly kind: 'failed'}
  /** The connection could not be established. */
  | {readonly kind: 'unreachable'}
  /** The target responded that it is full. */
  | {readonly kind: 'full'};

/** Weight of one attempt; ten reveal a target that fails some of its requests. */
const EWMA_ALPHA = 0.2;
/** Pause after the first failure; it doubles with each consecutive failure. */
const FIRST_PAUSE_MS = 250;
const MAX_PAUSE_MS = 4_000;
/** Pause of a full target: its queue advances within a pass or two. */
const FULL_PAUSE_MS = 60;
/** Consecutive failed requests from which the target is paused. */
const MAX_CONSECUTIVE_FAILURES = 3;

/** Health of one target as one node observes it. */
export class TargetHealth {
  private smoothedFailureRate = 0;
  private smoothedLatencyMs = 0;
  private consecutiveFailures = 0;
  private pausedUntilMs = -Infinity;

  /** Moving average of failed requests, 0 to 1. */
  get failureRate(): number {
    return this.smoothedFailureRate;
  }

  /** Moving average of the response time; 0 before the first response. */
  get latencyMs(): number {
    return this.smoothedLatencyMs;
  }

  /** Whether the target currently gets no requests from this node. */
  isPaused(nowMs: number): boolean {
    return nowMs < this.pausedUntilMs;
  }

  note(sign: AttemptResult, nowMs: number): void {
    switch (sign.kind) {
      case 'good':
        this.consecutiveFailures = 0;
        this.smoothedFailureRate -= this.smoothedFailureRate * EWMA_ALPHA;
        this.smoothedLatencyMs +=
          (sign.latencyMs - this.smoothedLatencyMs) *
          (this.smoothedLatencyMs === 0 ? 1 : EWMA_ALPHA);
        return;
      case 'full':
        this.pausedUntilMs = Math.max(
          this.pausedUntilMs,
          nowMs + FULL_PAUSE_MS
        );
        return;
      case 'failed':
        this.smoothedFailureRate += (1 - this.smoothedFailureRate) * EWMA_ALPHA;
        this.consecutiveFailures++;
        if (this.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES)
          this.pause(nowMs);
        return;
      case 'unreachable':
        this.consecutiveFailures++;
        this.pause(nowMs);
        return;
    }
  }

  private pause(nowMs: number): void {
    const doubled =
      FIRST_PAUSE_MS * 2 ** Math.min(8, this.consecutiveFailures - 1);
    this.pausedUntilMs = nowMs + Math.min(MAX_PAUSE_MS, doubled);
  }
}
