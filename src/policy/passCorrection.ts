/**
 * Corrects the cost model of an engine by measured passes.
 *
 * Prompts and responses may be longer than the profile assumes, or a rank slower.
 * The median over a few seconds ignores the moments after a demand shift, when the
 * actual load skew is not known yet.
 */

/** Even several shifts affect fewer than half of the samples in this window. */
const WINDOW_MS = 3_000;
/** With fewer samples, no correction is applied. */
const MIN_SAMPLES = 5;
/** Outside this range, the profile or the samples must be wrong. */
const MIN_FACTOR = 0.6;
const MAX_FACTOR = 2.5;

interface Sample {
  readonly atMs: number;
  readonly ratio: number;
}

/** Correction factor for the expected cost of a request. */
export class PassCorrection {
  private samples: Sample[] = [];

  /** Records a measured cost and the expected one, milliseconds. */
  record(measuredMs: number, expectedMs: number, nowMs: number): void {
    if (expectedMs <= 0) return;
    this.samples.push({atMs: nowMs, ratio: measuredMs / expectedMs});
    const oldest = nowMs - WINDOW_MS;
    while ((this.samples[0]?.atMs ?? nowMs) < oldest) this.samples.shift();
  }

  /** Factor for expected costs; 1 until there are enough samples. */
  get factor(): number {
    if (this.samples.length < MIN_SAMPLES) return 1;
    const ratios = this.samples.map(({ratio}) => ratio).sort((a, b) => a - b);
    const median = ratios[Math.floor(ratios.length / 2)] ?? 1;
    return plausibleFactor(median);
  }
}

/** Bounds a factor to the range in which it may be right. */
export function plausibleFactor(factor: number): number {
  return Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
}
