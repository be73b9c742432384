/**
 * Corrects the cost model of an engine by the passes that are seen.
 *
 * Pattern: prompts and answers longer than usual, or a rank slower than its
 * profile. The median of some seconds leaves out the moments after a shift, when
 * the skew in force is not known yet.
 */

/** Several shifts are fewer than half of the samples of this time. */
const MEMORY_MS = 3_000;
/** Fewer samples tell nothing yet. */
const MIN_SAMPLES = 5;
/** Beyond these the profile or the samples are wrong. */
const MIN_FACTOR = 0.6;
const MAX_FACTOR = 2.5;

interface Sample {
  readonly atMs: number;
  readonly ratio: number;
}

/** Corrects the expected cost of a request by what is seen. */
export class PassCorrection {
  private samples: Sample[] = [];

  /** Notes a seen cost and the one that was expected, milliseconds. */
  note(seenMs: number, expectedMs: number, nowMs: number): void {
    if (expectedMs <= 0) return;
    this.samples.push({atMs: nowMs, ratio: seenMs / expectedMs});
    const oldest = nowMs - MEMORY_MS;
    while ((this.samples[0]?.atMs ?? nowMs) < oldest) this.samples.shift();
  }

  /** Factor for expected costs; 1 until enough was seen. */
  get factor(): number {
    if (this.samples.length < MIN_SAMPLES) return 1;
    const ratios = this.samples.map(({ratio}) => ratio).sort((a, b) => a - b);
    const median = ratios[Math.floor(ratios.length / 2)] ?? 1;
    return Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, median));
  }
}
