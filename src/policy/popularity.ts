/**
 * Popularity of experts from reports that come late, out of order and with
 * gaps. Each expert has a line fitted by least squares with exponentially
 * decaying weights; where the slope is significant it is followed to the time
 * at which a map can be in force.
 */

/** Tokens by expert over a span, as one rank reported them. */
export interface PopularitySample {
  /** Middle of the counted span, milliseconds on the caller's clock. */
  readonly atMs: number;
  readonly counts: readonly number[];
}

/** How quickly old samples lose weight, and how far a trend is trusted. */
export interface PopularityConfig {
  readonly halfLifeMs: number;
  /** A slope below this many standard errors is taken for noise. */
  readonly significantSlope: number;
  /** Furthest that a trend is followed beyond the newest sample. */
  readonly maxAheadMs: number;
}

/** Defaults; docs/DESIGN.md has the measurements behind them. */
export const POPULARITY_DEFAULTS: PopularityConfig = {
  halfLifeMs: 500,
  significantSlope: 1,
  maxAheadMs: 5000,
};

/** Decayed sums of time and share; times are relative to `originMs`. */
interface Sums {
  weight: number;
  time: number;
  timeSquared: number;
}

const MIN_RELATIVE_SPREAD = 0.05;

/** What the planner asks of an estimate; the bench also has a perfect one. */
export type PopularityForecast = Pick<
  PopularityEstimate,
  'known' | 'add' | 'predict'
>;

/** Estimates the share of each expert in the tokens of a group. */
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

  /** Whether any sample has come. */
  get known(): boolean {
    return this.sums.weight > 0;
  }

  get newestSampleMs(): number {
    return this.newestMs;
  }

  /** Takes a sample of any age; a late one enters with the weight it has left. */
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

  /** Expected share of each expert at a time; they add up to 1. */
  predict(atMs: number): readonly number[] {
    if (!this.known)
      return new Array<number>(this.experts).fill(1 / this.experts);
    const ahead = Math.min(atMs - this.newestMs, this.cfg.maxAheadMs);
    const time = this.newestMs + ahead - (this.originMs ?? 0);
    const raw = Array.from({length: this.experts}, (_, expert) =>
      this.predictExpert(expert, time)
    );
    const total = raw.reduce((sum, value) => sum + value, 0);
    return raw.map(value => value / total);
  }

  private predictExpert(expert: number, time: number): number {
    const {weight, time: sumTime, timeSquared} = this.sums;
    const meanTime = sumTime / weight;
    const mean = (this.share[expert] ?? 0) / weight;
    const spread = timeSquared / weight - meanTime * meanTime;
    if (spread < (MIN_RELATIVE_SPREAD * this.cfg.halfLifeMs) ** 2) return mean;
    const covariance = (this.shareTime[expert] ?? 0) / weight - meanTime * mean;
    const variance = (this.shareSquared[expert] ?? 0) / weight - mean * mean;
    const slope = covariance / spread;
    const residual = Math.max(0, variance - slope * covariance);
    const error = Math.sqrt(residual / spread / Math.max(1, weight));
    if (Math.abs(slope) < this.cfg.significantSlope * error) return mean;
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

  /** Moves time zero forward: decays all sums and shifts their times. */
  private moveOrigin(atMs: number): void {
    const by = atMs - (this.originMs ?? atMs);
    this.originMs = atMs;
    if (by === 0) return;
    const factor = this.decay(by);
    const {weight, time, timeSquared} = this.sums;
    this.sums.timeSquared =
      factor * (timeSquared - 2 * by * time + by * by * weight);
    this.sums.time = factor * (time - by * weight);
    this.sums.weight = factor * weight;
    for (let expert = 0; expert < this.experts; expert++) {
      const share = this.share[expert] ?? 0;
      const shareTime = this.shareTime[expert] ?? 0;
      this.shareTime[expert] = factor * (shareTime - by * share);
      this.share[expert] = factor * share;
      this.shareSquared[expert] = factor * (this.shareSquared[expert] ?? 0);
    }
  }
}
