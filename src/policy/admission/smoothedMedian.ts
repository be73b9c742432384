/**
 * Median of recent samples that changes without jumps.
 *
 * A median alone ignores a few extreme samples, but jumps when they become half of
 * the window.
 */

/** Even several demand shifts affect fewer than half of the samples in this window. */
const WINDOW_MS = 3_000;
/**
 * With fewer samples, nothing is known. Those of a second are not all from the moments
 * after one demand shift.
 */
const MIN_SAMPLES = 20;
/** Time constant with which the result follows the median. */
const SMOOTHING_MS = 500;
/** A longer gap between samples must not let the result jump either. */
const MAX_STEP_MS = 100;

interface Sample {
  readonly atMs: number;
  readonly value: number;
}

/** Median of the last three seconds, followed exponentially. */
export class SmoothedMedian {
  private samples: readonly Sample[] = [];
  private updatedAtMs = -Infinity;

  /** `smoothed` is the value before there are enough samples. */
  constructor(private smoothed?: number) {}

  record(value: number, nowMs: number): void {
    this.samples = [...this.recent(nowMs), {atMs: nowMs, value}];
    const stepMs = Math.min(MAX_STEP_MS, nowMs - this.updatedAtMs);
    this.updatedAtMs = nowMs;
    if (!this.isCurrent(nowMs)) return;
    const values = this.samples.map(({value}) => value).sort((a, b) => a - b);
    const median = values[Math.floor(values.length / 2)] ?? value;
    const previous = this.smoothed ?? median;
    const weight = 1 - Math.exp(-stepMs / SMOOTHING_MS);
    this.smoothed = previous + (median - previous) * weight;
  }

  /** Undefined before the first; the last one when there are no new samples. */
  get value(): number | undefined {
    return this.smoothed;
  }

  /** Whether there are enough recent samples. */
  isCurrent(nowMs: number): boolean {
    return this.recent(nowMs).length >= MIN_SAMPLES;
  }

  private recent(nowMs: number): readonly Sample[] {
    return this.samples.filter(({atMs}) => atMs >= nowMs - WINDOW_MS);
  }
}
