/**
 * Timeout of a call, adapted to measured round trips (Jacobson and Karels). A busy
 * machine replies several times slower than an idle one. A fixed timeout would
 * either retransmit calls whose reply is still on its way, which adds to the load,
 * or wait too long for lost ones.
 */

const ROUND_TRIP_WEIGHT = 1 / 8;
const VARIATION_WEIGHT = 1 / 4;
const VARIATION_FACTOR = 4;
const BACKOFF_FACTOR = 2;

/** Range of the timeout, milliseconds. */
export interface TimeoutBounds {
  readonly minMs: number;
  readonly maxMs: number;
  /** Timeout before the first reply. */
  readonly initialMs: number;
}

/** Adaptive timeout of one kind of call. */
export class RetransmitTimeout {
  private roundTripMs: number | undefined;
  private variationMs = 0;
  private limitMs: number;

  constructor(private readonly bounds: TimeoutBounds) {
    this.limitMs = bounds.initialMs;
  }

  /** Timeout of the next call, milliseconds. */
  get ms(): number {
    return this.limitMs;
  }

  /** Records the round trip of a call that received a reply. */
  noteAnswer(ms: number): void {
    if (this.roundTripMs === undefined) {
      this.roundTripMs = ms;
      this.variationMs = ms / 2;
    } else {
      const error = ms - this.roundTripMs;
      this.variationMs +=
        (Math.abs(error) - this.variationMs) * VARIATION_WEIGHT;
      this.roundTripMs += error * ROUND_TRIP_WEIGHT;
    }
    this.limitMs = this.clamp(
      this.roundTripMs + VARIATION_FACTOR * this.variationMs
    );
  }

  /**
   * Records calls that timed out. A single one of many sent together was probably
   * lost and says nothing about the round trip, so the timeout backs off only when
   * more than half of them timed out.
   */
  noteTimeouts(timedOut: number, sent: number): void {
    if (timedOut * 2 > sent)
      this.limitMs = this.clamp(this.limitMs * BACKOFF_FACTOR);
  }

  private clamp(ms: number): number {
    return Math.min(this.bounds.maxMs, Math.max(this.bounds.minMs, ms));
  }
}
