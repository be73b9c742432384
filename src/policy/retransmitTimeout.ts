/**
 * Time limit of a call, from the round trips that were measured (Jacobson and
 * Karels). Answers of a busy machine take several times as long as those of an
 * idle one: a fixed limit either retransmits what is still on its way, which
 * adds to the load, or waits long for what is lost.
 */

const ROUND_TRIP_WEIGHT = 1 / 8;
const VARIATION_WEIGHT = 1 / 4;
const VARIATIONS = 4;
const BACKOFF = 2;

/** Range of the limit, milliseconds. */
export interface TimeoutBounds {
  readonly minMs: number;
  readonly maxMs: number;
  /** Before the first answer. */
  readonly initialMs: number;
}

/** Limit of one kind of call. */
export class RetransmitTimeout {
  private roundTripMs: number | undefined;
  private variationMs = 0;
  private limitMs: number;

  constructor(private readonly bounds: TimeoutBounds) {
    this.limitMs = bounds.initialMs;
  }

  /** Time limit of the next call, milliseconds. */
  get ms(): number {
    return this.limitMs;
  }

  /** Notes the duration of a call that was answered. */
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
    this.limitMs = this.within(
      this.roundTripMs + VARIATIONS * this.variationMs
    );
  }

  /**
   * Notes calls without an answer. One of many that were sent together is
   * likely lost, and says nothing of the time that answers take.
   */
  noteTimeouts(timedOut: number, sent: number): void {
    if (timedOut * 2 > sent) this.limitMs = this.within(this.limitMs * BACKOFF);
  }

  private within(ms: number): number {
    return Math.min(this.bounds.maxMs, Math.max(this.bounds.minMs, ms));
  }
}
