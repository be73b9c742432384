/** Runs several placement policies over the same simulated popularity. */

import {evenShape, rankLoads, skewOf} from '../../src/policy/placement';
import {skewLowerBound} from '../../src/policy/placementBound';
import {placeFromScratch} from '../../src/policy/placementGreedy';
import type {RebalanceConfig} from '../../src/policy/rebalanceDecision';
import {REBALANCE_DEFAULTS} from '../../src/policy/rebalanceDecision';
import type {MeasureOptions} from '../measure';
import {SeededRandom} from '../fuzz/schedule';
import type {PlacementPolicy, PolicySetup} from './expertPolicies';
import {IncrementalPolicy, ScratchPolicy, StaticPolicy} from './expertPolicies';
import type {WorldConfig} from './expertWorld';
import {ExpertWorld, gaussian, WORLD} from './expertWorld';
import {PerfectForecast} from './perfectForecast';

const SPARE_SLOTS = 32;
const TICK_MS = 250;
const WARM_UP_MS = 60_000;
const HOUR_MS = 3_600_000;
const BOUND_INTERVAL_TICKS = 20;

/** Skews at the sampled steps and hourly costs of one policy. */
export interface PolicyOutcome {
  readonly name: string;
  readonly mean: number;
  readonly p50: number;
  readonly p99: number;
  readonly max: number;
  readonly loadsPerHour: number;
  readonly bytesPerHour: number;
  readonly switchesPerHour: number;
  readonly lostMsPerHour: number;
  readonly skews: readonly number[];
}

/** Outcomes of all policies, and lower bounds that no policy can beat. */
export interface ExpertRunOutcome {
  readonly policies: readonly PolicyOutcome[];
  /** Mean lower bound of the skew, given perfect knowledge and free moves. */
  readonly bound: number;
  /** Skew of a perfectly even map, caused only by the randomness of tokens. */
  readonly noiseMean: number;
  readonly noiseP99: number;
  readonly tickMs: number;
}

/** Value at a quantile of a list. */
export function quantile(values: readonly number[], q: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.min(sorted.length - 1, Math.floor(q * sorted.length));
  return sorted[index] ?? NaN;
}

/** Arithmetic mean of a list. */
export function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Skew of one step: expected loads plus the random deviation of its tokens. */
function sampledSkew(
  loads: readonly number[],
  world: WorldConfig,
  random: SeededRandom
): number {
  const sampled = loads.map(load => {
    const tokens = load * world.assignmentsPerStep;
    return tokens + Math.sqrt(tokens) * gaussian(random);
  });
  return skewOf(sampled);
}

function outcomeOf(
  policy: PlacementPolicy,
  skews: readonly number[],
  ms: number,
  cfg: RebalanceConfig
): PolicyOutcome {
  const hours = ms / HOUR_MS;
  const {loads, switches, lostMs} = policy.cost;
  return {
    name: policy.name,
    mean: mean(skews),
    p50: quantile(skews, 0.5),
    p99: quantile(skews, 0.99),
    max: Math.max(...skews),
    loadsPerHour: loads / hours,
    bytesPerHour: (loads * cfg.expertBytes) / hours,
    switchesPerHour: switches / hours,
    lostMsPerHour: lostMs / hours,
    skews,
  };
}

/** Options of a run; `only` restricts it to the named policies. */
export interface ExpertRunOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly world?: WorldConfig;
  readonly cfg?: RebalanceConfig;
  readonly only?: readonly string[];
  /** Adds the production planner with a perfect forecast, as a further bound. */
  readonly withPerfectForecast?: boolean;
}

function policiesOf(setup: PolicySetup): readonly PlacementPolicy[] {
  return [
    new IncrementalPolicy('ours', setup),
    new IncrementalPolicy('evenSplit', {
      ...setup,
      cfg: {...setup.cfg, splitting: 'even'},
    }),
    new StaticPolicy('static', setup),
    new ScratchPolicy('scratchEvery10s', setup, 10_000, 'even'),
    new ScratchPolicy('scratchEvery60s', setup, 60_000, 'even'),
    new ScratchPolicy('scratchWeighted', setup, 10_000, 'best'),
  ];
}

/** The production planner with a forecast that is always exact. */
function perfectForecastPolicy(
  setup: PolicySetup,
  world: WorldConfig,
  seed: number
): PlacementPolicy {
  const futureWorld = new ExpertWorld(world, new SeededRandom(seed));
  const forecast = new PerfectForecast(futureWorld, TICK_MS);
  return new IncrementalPolicy('perfectForecast', setup, forecast);
}

const QUICK_RUN_MS = 4 * 60_000;
const FULL_RUN_MS = 3_600_000;
const cachedRuns = new Map<string, ExpertRunOutcome>();

/** The cached run that all placement measures share. */
export function sharedRun(options: MeasureOptions): ExpertRunOutcome {
  const id = `${options.seed} ${options.quick}`;
  const durationMs = options.quick ? QUICK_RUN_MS : FULL_RUN_MS;
  const known = cachedRuns.get(id);
  const run =
    known ??
    runExperts({
      seed: options.seed,
      durationMs,
      withPerfectForecast: !options.quick,
    });
  cachedRuns.set(id, run);
  return run;
}

/** Outcome of a policy by name. */
export function findPolicy(run: ExpertRunOutcome, name: string): PolicyOutcome {
  const found = run.policies.find(policy => policy.name === name);
  if (found === undefined) throw new Error(`no policy ${name}`);
  return found;
}

/** Runs all policies over one seeded popularity. */
export function runExperts(options: ExpertRunOptions): ExpertRunOutcome {
  const world = options.world ?? WORLD;
  const cfg = options.cfg ?? REBALANCE_DEFAULTS;
  const source = new ExpertWorld(world, new SeededRandom(options.seed));
  const noise = new SeededRandom(options.seed + 1_000_003);
  const shape = evenShape(world.ranks, world.experts, SPARE_SLOTS);
  const initial = placeFromScratch(shape, source.popularity());
  const setup = {shape, initial, cfg};
  const policies = [
    ...policiesOf(setup),
    ...(options.withPerfectForecast
      ? [perfectForecastPolicy(setup, world, options.seed)]
      : []),
  ].filter(policy => options.only?.includes(policy.name) ?? true);
  const skews = policies.map((): number[] => []);
  const bounds: number[] = [];
  const noiseSkews: number[] = [];
  const even = new Array<number>(world.ranks).fill(1 / world.ranks);
  const ticks = (options.durationMs + WARM_UP_MS) / TICK_MS;
  for (let tick = 0; tick < ticks; tick++) {
    const samples = source.advance(TICK_MS);
    const popularity = source.popularity();
    const isMeasured = source.nowMs > WARM_UP_MS;
    policies.forEach((policy, index) => {
      policy.observe(samples);
      policy.tick(source.nowMs);
      if (!isMeasured) return;
      const loads = rankLoads(policy.map, popularity);
      skews[index]?.push(sampledSkew(loads, world, noise));
    });
    if (!isMeasured) continue;
    noiseSkews.push(sampledSkew(even, world, noise));
    if (tick % BOUND_INTERVAL_TICKS === 0)
      bounds.push(skewLowerBound(shape, popularity));
  }
  return {
    policies: policies.map((policy, index) =>
      outcomeOf(
        policy,
        skews[index] ?? [],
        options.durationMs + WARM_UP_MS,
        cfg
      )
    ),
    bound: mean(bounds),
    noiseMean: mean(noiseSkews),
    noiseP99: quantile(noiseSkews, 0.99),
    tickMs: TICK_MS,
  };
}
