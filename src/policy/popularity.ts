/**
 * Estimates the popularity of experts from samples that arrive late, out of
 * order and with gaps. The share of each expert is fitted by a least-squares
 * line with exponentially decaying weights. A significant slope is extrapolated
 * to the time when a new map can be active.
 */

/** Tokens by expert during one interval, as reported by one rank. */
export interface PopularitySample {
  /** Middle of the interval, milliseconds on the clock of `predict`. */
  readonly atMs: number;
  readonly counts: readonly number[];
}

/** Decay of old samples and limits of extrapolation. */
export interface PopularityConfig {
  readonly halfLifeMs: number;
  /** A slope below this many standard errors is treated as noise. */
  readonly minSlopeErrors: number;
  /** Maximum time that a trend is extrapolated beyond the newest sample. */
  readonly maxExtrapolationMs: number;
}

/** Defaults; docs/DESIGN.md has the measurements behind them. */
export const POPULARITY_DEFAULTS: PopularityConfig = {
  halfLifeMs: 500,
  minSlopeErrors: 1,
  maxExtrapolationMs: 5000,
};

/** Weighted sums over samples; times are relative to `originMs`. */
interface Sums {
  weight: number;
  time: number;
  timeSquared: number;
}

/**
 * Minimum standard deviation of sample times for a slope to be fitted, as a
 * ratio of the half-life.
 */
const MIN_TIME_DEVIATION_RATIO = 0.05;

/** Forecast that the planner uses; the bench also implements a perfect one. */
export type PopularityForecast = Pick<
  PopularityEstimate,
  'hasSamples' | 'add' | 'predict'
>;

/** Estimates the share of each expert in all tokens of a group. */
export class PopularityEstimate {
  private readonly sums: Sums = {weight: 0, time: 0, timeSquared: 0};
  private readonly share: Float64Array;
  private readonly shareTime: Float64Array;
  private readonly shareSquared: Float64Array;
  private originMs?: number;
  private newestMs = -Infinity;

  constructor(
    private readonly experts: number,
    private readonly cfg: PopularityConfig = POPULARITY_DEFAULTS
  ) {
    this.share = new Float64Array(experts);
    this.shareTime = new Float64Array(experts);
    this.shareSquared = new Float64Array(experts);
  }

  /** Whether any valid sample was added. */
  get hasSamples(): boolean {
    return this.sums.weight > 0;
  }

  get newestSampleMs(): number {
    return this.newestMs;
  }

  /** Adds a sample of any age; a late one counts with its decayed weight. */
  add(sample: PopularitySample): void {
    const total = sample.counts.reduce((sum, count) => sum + count, 0);
    if (total <= 0 || sample.counts.length !== this.experts) return;
    this.moveOrigin(Math.max(sample.atMs, this.originMs ?? sample.atMs));
    const time = sample.atMs - (this.originMs ?? sample.atMs);
    const weight = this.decay(-time);
    this.sums.weight += weight;
    this.sums.time += weight * time;
    this.sums.timeSquared += weight * time * time;
    sample.counts.forEach((count, expert) =>
      this.addShare(expert, count / total, weight, time)
    );
    this.newestMs = Math.max(this.newestMs, sample.atMs);
  }

  /** Expected share of each expert at a given time; shares add up to 1. */
  predict(atMs: number): readonly number[] {
    if (!this.hasSamples)
      return new Array<number>(this.experts).fill(1 / this.experts);
    const aheadMs = Math.min(atMs - this.newestMs, this.cfg.maxExtrapolationMs);
    const time = this.newestMs + aheadMs - (this.originMs ?? 0);
    const unscaled = Array.from({length: this.experts}, (_, expert) =>
      this.predictExpert(expert, time)
    );
    const total = unscaled.reduce((sum, value) => sum + value, 0);
    return unscaled.map(value => value / total);
  }

  private predictExpert(expert: number, time: number): number {
    const {weight, time: sumTime, timeSquared} = this.sums;
    const meanTime = sumTime / weight;
    const mean = (this.share[expert] ?? 0) / weight;
    const timeVariance = timeSquared / weight - meanTime * meanTime;
    if (timeVariance < (MIN_TIME_DEVIATION_RATIO * this.cfg.halfLifeMs) ** 2)
      return mean;
    const covariance = (this.shareTime[expert] ?? 0) / weight - meanTime * mean;
    const shareVariance =
      (this.shareSquared[expert] ?? 0) / weight - mean * mean;
    const slope = covariance / timeVariance;
    const residual = Math.max(0, shareVariance - slope * covariance);
    const slopeError = Math.sqrt(residual / timeVariance / Math.max(1, weight));
    if (Math.abs(slope) < this.cfg.minSlopeErrors * slopeError) return mean;
    return Math.max(mean / 4, mean + slope * (time - meanTime));
  }

  private addShare(
    expert: number,
    share: number,
    weight: number,
    time: number
  ): void {
    const weighted = weight * share;
    this.share[expert] = (this.share[expert] ?? 0) + weighted;
    this.shareTime[expert] = (this.shareTime[expert] ?? 0) + weighted * time;
    this.shareSquared[expert] =
      (this.shareSquared[expert] ?? 0) + weighted * share;
  }

  private decay(ageMs: number): number {
    return 2 ** (-ageMs / this.cfg.halfLifeMs);
  }

  /** Moves the origin of time forward: decays all sums and shifts their times. */
  private moveOrigin(atMs: number): void {
    const shiftMs = atMs - (this.originMs ?? atMs);
    this.originMs = atMs;
    if (shiftMs === 0) return;
    const factor = this.decay(shiftMs);
    const {weight, time, timeSquared} = this.sums;
    this.sums.timeSquared =
      factor * (timeSquared - 2 * shiftMs * time + shiftMs * shiftMs * weight);
    this.sums.time = factor * (time - shiftMs * weight);
    this.sums.weight = factor * weight;
    for (let expert = 0; expert < this.experts; expert++) {
      const share = this.share[expert] ?? 0;
      const shareTime = this.shareTime[expert] ?? 0;
      this.shareTime[expert] = factor * (shareTime - shiftMs * share);
      this.share[expert] = factor * share;
      this.shareSquared[expert] = factor * (this.shareSquared[expert] ?? 0);
    }
  }
}
