/**
 * Expected output tokens of requests. Callers' hints are accurate at the median but
 * often far off; the correction is what streams of the same route turned out to be.
 */

/** Weight of the newest stream in the mean ratio of actual to hinted tokens. */
const EWMA_ALPHA = 0.05;
/** Bounds of one sample and so of the correction; a false hint moves it little. */
const MIN_RATIO = 0.25;
const MAX_RATIO = 4;

/** Corrections of the hints, by route name. */
export class LengthEstimate {
  private readonly ratios = new Map<string, number>();

  /** Records a finished stream; counts that are not positive are ignored. */
  record(route: string, hintedTokens: number, actualTokens: number): void {
    if (!isPositive(hintedTokens) || !isPositive(actualTokens)) return;
    const sample = Math.min(
      MAX_RATIO,
      Math.max(MIN_RATIO, actualTokens / hintedTokens)
    );
    const ratio = this.ratios.get(route) ?? 1;
    this.ratios.set(route, ratio + EWMA_ALPHA * (sample - ratio));
  }

  /**
   * Expected output tokens, at most `maxTokens` unless that is 0; `maxTokens` in place
   * of a hint that is not positive.
   */
  outputTokens(route: string, hintedTokens: number, maxTokens: number): number {
    if (!isPositive(hintedTokens)) return isPositive(maxTokens) ? maxTokens : 0;
    const estimate = hintedTokens * (this.ratios.get(route) ?? 1);
    return isPositive(maxTokens) ? Math.min(maxTokens, estimate) : estimate;
  }
}

function isPositive(count: number): boolean {
  return Number.isFinite(count) && count > 0;
}
