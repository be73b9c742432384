/**
 * Popularity of experts over time, for the measures of placement: Zipf with a
 * slow drift of every expert and bursts of a few, and the reports that the
 * ranks make of it, late and with gaps.
 */

import type {PopularitySample} from '../../src/policy/popularity';
import {SeededRandom} from '../fuzz/schedule';

/** Parameters of the popularity; times in milliseconds. */
export interface WorldConfig {
  readonly experts: number;
  readonly ranks: number;
  readonly zipf: number;
  /** Most that one expert can have: each token takes several different ones. */
  readonly maxShare: number;
  /** Standard deviation of the drift of each logarithm, and its time scale. */
  readonly driftSigma: number;
  readonly driftTauMs: number;
  /** Turnover of the requests in work, which smooths the drift; 0 for none. */
  readonly turnoverMs: number;
  readonly burstEveryMs: number;
  readonly burstExperts: number;
  readonly burstFactor: readonly [number, number];
  readonly burstHoldMs: readonly [number, number];
  readonly burstRampTauMs: number;
  /** Tokens times experts a token, by all ranks in a step. */
  readonly assignmentsPerStep: number;
  readonly stepMs: number;
  /** Delay of a report, its loss, and the time between two of a rank. */
  readonly reportLagMs: readonly [number, number];
  readonly reportLoss: number;
  readonly reportEveryMs: number;
  /** Ranks whose reports are told apart. */
  readonly reporters: number;
}

/**
 * Every token takes 8 different experts, so that none has more than 1 in 8.
 * An answer of 1000 tokens at 30 ms stays 30 s in work, and popularity is an
 * average over the requests in work: hence the turnover.
 */
export const WORLD: WorldConfig = {
  experts: 256,
  ranks: 64,
  zipf: 0.8,
  maxShare: 1 / 8,
  driftSigma: 0.5,
  driftTauMs: 30 * 60_000,
  turnoverMs: 30_000,
  burstEveryMs: 4 * 60_000,
  burstExperts: 3,
  burstFactor: [2, 5],
  burstHoldMs: [30_000, 180_000],
  burstRampTauMs: 10_000,
  assignmentsPerStep: 64 * 4096 * 8,
  stepMs: 30,
  reportLagMs: [500, 5000],
  reportLoss: 0.1,
  reportEveryMs: 1000,
  reporters: 64,
};

const CAP_PASSES = 4;
const TABLE_SIZE = 1 << 16;

interface Burst {
  readonly expert: number;
  readonly factor: number;
  readonly endMs: number;
}

interface Pending {
  readonly arrivesMs: number;
  readonly sample: PopularitySample;
}

/** Normally distributed, mean 0 and deviation 1. */
export function gaussian(random: SeededRandom): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

function between(random: SeededRandom, range: readonly [number, number]) {
  return range[0] + (range[1] - range[0]) * random.next();
}

/** Popularity that advances with the time, and the reports on their way. */
export class ExpertWorld {
  private readonly base: readonly number[];
  private readonly target: number[];
  private readonly drift: number[];
  private readonly boost: number[];
  private bursts: Burst[] = [];
  private pending: Pending[] = [];
  private nextReportMs: number[];
  private readonly chance: GaussianTable;
  private shares?: readonly number[];
  nowMs = 0;

  constructor(
    readonly cfg: WorldConfig,
    private readonly random: SeededRandom
  ) {
    this.chance = new GaussianTable(random);
    const order = shuffled(cfg.experts, random);
    this.base = order.map(place => -cfg.zipf * Math.log(place + 1));
    this.target = order.map(() => cfg.driftSigma * gaussian(random));
    this.drift = [...this.target];
    this.boost = order.map(() => 0);
    this.nextReportMs = Array.from({length: cfg.reporters}, () =>
      between(random, [0, cfg.reportEveryMs])
    );
  }

  /** Share of each expert now; they add up to 1. */
  popularity(): readonly number[] {
    this.shares ??= this.currentShares();
    return this.shares;
  }

  private currentShares(): readonly number[] {
    const raw = this.base.map((base, expert) =>
      Math.exp(base + (this.drift[expert] ?? 0) + (this.boost[expert] ?? 0))
    );
    return capped(raw, this.cfg.maxShare);
  }

  /** Moves the time on and returns the reports that arrive by then. */
  advance(ms: number): readonly PopularitySample[] {
    this.nowMs += ms;
    this.shares = undefined;
    this.driftBy(ms);
    this.burstBy(ms);
    this.report();
    const due = this.pending.filter(item => item.arrivesMs <= this.nowMs);
    this.pending = this.pending.filter(item => item.arrivesMs > this.nowMs);
    return due.map(item => item.sample);
  }

  private driftBy(ms: number): void {
    const keep = Math.exp(-ms / this.cfg.driftTauMs);
    const noise = this.cfg.driftSigma * Math.sqrt(1 - keep * keep);
    const {turnoverMs} = this.cfg;
    const follow = turnoverMs > 0 ? 1 - Math.exp(-ms / turnoverMs) : 1;
    this.target.forEach((value, expert) => {
      const next = value * keep + noise * gaussian(this.random);
      const drift = this.drift[expert] ?? 0;
      this.target[expert] = next;
      this.drift[expert] = drift + follow * (next - drift);
    });
  }

  private burstBy(ms: number): void {
    this.bursts = this.bursts.filter(burst => burst.endMs > this.nowMs);
    if (this.random.chance(ms / this.cfg.burstEveryMs)) this.startBurst();
    const target = this.boost.map(() => 0);
    for (const {expert, factor} of this.bursts)
      target[expert] = Math.max(target[expert] ?? 0, Math.log(factor));
    const step = 1 - Math.exp(-ms / this.cfg.burstRampTauMs);
    this.boost.forEach((value, expert) => {
      this.boost[expert] = value + step * ((target[expert] ?? 0) - value);
    });
  }

  private startBurst(): void {
    const endMs = this.nowMs + between(this.random, this.cfg.burstHoldMs);
    for (let n = 0; n < this.cfg.burstExperts; n++) {
      const expert = this.random.int(0, this.cfg.experts - 1);
      const factor = between(this.random, this.cfg.burstFactor);
      this.bursts.push({expert, factor, endMs});
    }
  }

  private report(): void {
    this.nextReportMs = this.nextReportMs.map(at => {
      if (at > this.nowMs) return at;
      if (!this.random.chance(this.cfg.reportLoss)) this.sendReport();
      return at + this.cfg.reportEveryMs;
    });
  }

  private sendReport(): void {
    const steps = this.cfg.reportEveryMs / this.cfg.stepMs;
    const tokens = (this.cfg.assignmentsPerStep / this.cfg.ranks) * steps;
    const counts = this.chance.counts(this.popularity(), tokens);
    const atMs = this.nowMs - this.cfg.reportEveryMs / 2;
    const arrivesMs = this.nowMs + between(this.random, this.cfg.reportLagMs);
    this.pending.push({arrivesMs, sample: {atMs, counts}});
  }
}

/** Scales to a sum of 1 with no share above `most`. */
function capped(raw: readonly number[], most: number): readonly number[] {
  let shares = raw;
  for (let pass = 0; pass < CAP_PASSES; pass++) {
    const total = shares.reduce((sum, value) => sum + value, 0);
    shares = shares.map(value => Math.min(most, value / total));
  }
  const total = shares.reduce((sum, value) => sum + value, 0);
  return shares.map(value => value / total);
}

/** Drawn once; a draw starts at a random place and goes on from there. */
class GaussianTable {
  private readonly values: readonly number[];

  constructor(private readonly random: SeededRandom) {
    this.values = Array.from({length: TABLE_SIZE}, () => gaussian(random));
  }

  /** Counts of a sample; normal approximation of the Poisson distribution. */
  counts(shares: readonly number[], total: number): readonly number[] {
    const start = this.random.int(0, TABLE_SIZE - 1);
    return shares.map((share, index) => {
      const mean = share * total;
      const chance = this.values[(start + index) % TABLE_SIZE] ?? 0;
      return Math.max(0, Math.round(mean + Math.sqrt(mean) * chance));
    });
  }
}

function shuffled(count: number, random: SeededRandom): readonly number[] {
  const list = Array.from({length: count}, (_, index) => index);
  for (let last = count - 1; last > 0; last--) {
    const other = random.int(0, last);
    [list[last], list[other]] = [list[other] ?? 0, list[last] ?? 0];
  }
  return list;
}
