/**
 * Simulated popularity of experts for the placement measures: a Zipf
 * distribution with slow drift of every expert and bursts of a few, and the
 * ranks' reports of it, which are late and sometimes lost.
 */

import type {PopularitySample} from '../../src/policy/popularity';
import {SeededRandom} from '../fuzz/schedule';

/** Parameters of the popularity; times in milliseconds. */
export interface WorldConfig {
  readonly experts: number;
  readonly ranks: number;
  readonly zipf: number;
  /** Maximum share of one expert; limited since each token uses several different ones. */
  readonly maxShare: number;
  /** Standard deviation of the drift of each log popularity, and its time constant. */
  readonly driftSigma: number;
  readonly driftTauMs: number;
  /** Time in which the running requests are replaced, which smooths the drift; 0 for no smoothing. */
  readonly turnoverMs: number;
  readonly burstEveryMs: number;
  readonly burstExperts: number;
  readonly burstFactor: readonly [number, number];
  readonly burstHoldMs: readonly [number, number];
  readonly burstRampTauMs: number;
  /** Tokens times experts per token, over all ranks in one step. */
  readonly assignmentsPerStep: number;
  readonly stepMs: number;
  /** Delay range of a report, probability of its loss, and report interval of a rank. */
  readonly reportLagMs: readonly [number, number];
  readonly reportLoss: number;
  readonly reportEveryMs: number;
  /** Number of ranks that send reports. */
  readonly reporters: number;
}

/**
 * Default parameters. Every token uses 8 different experts, so that none has a
 * share above 1 in 8. A response of 1000 tokens at 30 ms runs for 30 s, and
 * popularity is an average over the running requests, hence the turnover.
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

const CAP_ITERATIONS = 4;
const TABLE_SIZE = 1 << 16;

interface Burst {
  readonly expert: number;
  readonly factor: number;
  readonly endMs: number;
}

interface ReportInTransit {
  readonly arrivesMs: number;
  readonly sample: PopularitySample;
}

/** A normally distributed number with mean 0 and standard deviation 1. */
export function gaussian(random: SeededRandom): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

function randomBetween(random: SeededRandom, range: readonly [number, number]) {
  return range[0] + (range[1] - range[0]) * random.next();
}

/** The popularity at the simulated time, and the reports that are in transit. */
export class ExpertWorld {
  private readonly base: readonly number[];
  private readonly driftTarget: number[];
  private readonly drift: number[];
  private readonly burstBoost: number[];
  private bursts: Burst[] = [];
  private inTransit: ReportInTransit[] = [];
  private nextReportMs: number[];
  private readonly gaussianTable: GaussianTable;
  private shares?: readonly number[];
  nowMs = 0;

  constructor(
    readonly cfg: WorldConfig,
    private readonly random: SeededRandom
  ) {
    this.gaussianTable = new GaussianTable(random);
    const order = shuffled(cfg.experts, random);
    this.base = order.map(position => -cfg.zipf * Math.log(position + 1));
    this.driftTarget = order.map(() => cfg.driftSigma * gaussian(random));
    this.drift = [...this.driftTarget];
    this.burstBoost = order.map(() => 0);
    this.nextReportMs = Array.from({length: cfg.reporters}, () =>
      randomBetween(random, [0, cfg.reportEveryMs])
    );
  }

  /** Current share of each expert; the shares add up to 1. */
  popularity(): readonly number[] {
    this.shares ??= this.currentShares();
    return this.shares;
  }

  private currentShares(): readonly number[] {
    const raw = this.base.map((base, expert) =>
      Math.exp(
        base + (this.drift[expert] ?? 0) + (this.burstBoost[expert] ?? 0)
      )
    );
    return normalizeWithCap(raw, this.cfg.maxShare);
  }

  /** Advances the time by `ms` and returns the reports that have arrived. */
  advance(ms: number): readonly PopularitySample[] {
    this.nowMs += ms;
    this.shares = undefined;
    this.advanceDrift(ms);
    this.advanceBursts(ms);
    this.report();
    const due = this.inTransit.filter(item => item.arrivesMs <= this.nowMs);
    this.inTransit = this.inTransit.filter(item => item.arrivesMs > this.nowMs);
    return due.map(item => item.sample);
  }

  private advanceDrift(ms: number): void {
    const retained = Math.exp(-ms / this.cfg.driftTauMs);
    const noise = this.cfg.driftSigma * Math.sqrt(1 - retained * retained);
    const {turnoverMs} = this.cfg;
    const followRatio = turnoverMs > 0 ? 1 - Math.exp(-ms / turnoverMs) : 1;
    this.driftTarget.forEach((value, expert) => {
      const next = value * retained + noise * gaussian(this.random);
      const drift = this.drift[expert] ?? 0;
      this.driftTarget[expert] = next;
      this.drift[expert] = drift + followRatio * (next - drift);
    });
  }

  private advanceBursts(ms: number): void {
    this.bursts = this.bursts.filter(burst => burst.endMs > this.nowMs);
    if (this.random.chance(ms / this.cfg.burstEveryMs)) this.startBurst();
    const target = this.burstBoost.map(() => 0);
    for (const {expert, factor} of this.bursts)
      target[expert] = Math.max(target[expert] ?? 0, Math.log(factor));
    const followRatio = 1 - Math.exp(-ms / this.cfg.burstRampTauMs);
    this.burstBoost.forEach((value, expert) => {
      this.burstBoost[expert] =
        value + followRatio * ((target[expert] ?? 0) - value);
    });
  }

  private startBurst(): void {
    const endMs = this.nowMs + randomBetween(this.random, this.cfg.burstHoldMs);
    for (let n = 0; n < this.cfg.burstExperts; n++) {
      const expert = this.random.int(0, this.cfg.experts - 1);
      const factor = randomBetween(this.random, this.cfg.burstFactor);
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
    const counts = this.gaussianTable.counts(this.popularity(), tokens);
    const atMs = this.nowMs - this.cfg.reportEveryMs / 2;
    const arrivesMs =
      this.nowMs + randomBetween(this.random, this.cfg.reportLagMs);
    this.inTransit.push({arrivesMs, sample: {atMs, counts}});
  }
}

/** Scales to a sum of 1 and caps shares; approximate, since scaling raises capped shares again. */
function normalizeWithCap(
  raw: readonly number[],
  maxShare: number
): readonly number[] {
  let shares = raw;
  for (let iteration = 0; iteration < CAP_ITERATIONS; iteration++) {
    const total = shares.reduce((sum, value) => sum + value, 0);
    shares = shares.map(value => Math.min(maxShare, value / total));
  }
  const total = shares.reduce((sum, value) => sum + value, 0);
  return shares.map(value => value / total);
}

/** Precomputed normal deviates; each sample reads them from a random index on. */
class GaussianTable {
  private readonly values: readonly number[];

  constructor(private readonly random: SeededRandom) {
    this.values = Array.from({length: TABLE_SIZE}, () => gaussian(random));
  }

  /** Random token counts; uses the normal approximation of the Poisson distribution. */
  counts(shares: readonly number[], total: number): readonly number[] {
    const start = this.random.int(0, TABLE_SIZE - 1);
    return shares.map((share, index) => {
      const mean = share * total;
      const deviate = this.values[(start + index) % TABLE_SIZE] ?? 0;
      return Math.max(0, Math.round(mean + Math.sqrt(mean) * deviate));
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
