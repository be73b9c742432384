/**
 * `zoneOutage`: failures and latency that callers see while one of three zones
 * goes out and returns, by rule or by a sudden loss, at 60% load.
 */

import type {GateOptions} from '../emulator/gate';
import {
  ABZEICHENWERK,
  Cluster,
  COLD_START,
  engineCapacity,
  PRODUCT_GATE,
  SHANNONSIDE,
  type ClusterOptions,
  type DeploymentShape,
} from '../emulator/cluster';
import {pooledP95, WindowFigures, type Window} from '../emulator/recorder';
import {tenCustomers, Workload} from '../emulator/workload';
import type {Figures, Measure, MeasureOptions, MeasureResult} from '../measure';

const LOAD = 0.6;
const ZONE = 'zone-b';
const STEADY_FROM_MS = 20_000;
const OUT_AT_MS = 80_000;
const IN_AT_MS = 140_000;
const END_MS = 240_000;
const DRAIN_MS = 60_000;
const MAX_LATENCY_RATIO = 1.5;
const MAX_NEW_WORK_MS = 3000;

const WINDOWS: readonly Window[] = [
  {name: 'steady', fromMs: STEADY_FROM_MS, toMs: OUT_AT_MS},
  {name: 'out', fromMs: OUT_AT_MS, toMs: IN_AT_MS},
  {name: 'return', fromMs: IN_AT_MS, toMs: END_MS},
];

/** `overload` is a graceful outage in which the other zones cannot take the full load. */
type Kind = 'graceful' | 'sudden' | 'overload';
const KINDS: readonly Kind[] = ['graceful', 'sudden', 'overload'];
const OVERLOAD_LOAD = 0.85;
const FULL_RUN_SEEDS = 3;

interface Policy {
  readonly gate: GateOptions;
  readonly entry: ClusterOptions['entry'];
}

const FIRST_TOKEN_MS = 2000;

const OURS: Policy = {
  gate: {...PRODUCT_GATE, firstTokenMs: FIRST_TOKEN_MS},
  entry: {retries: true, gradualReturn: true, responsesCarryLoad: true},
};

const BASELINES: Readonly<Record<string, Policy>> = {
  fifo: {...OURS, gate: {...OURS.gate, queue: 'fifo'}},
  noRetry: {...OURS, entry: {...OURS.entry, retries: false}},
  noGradualReturn: {
    gate: {...OURS.gate, ramp: false},
    entry: {...OURS.entry, gradualReturn: false},
  },
};

function runOne(
  shape: DeploymentShape,
  kind: Kind,
  policy: Policy,
  seed: number
): Figures {
  const load = kind === 'overload' ? OVERLOAD_LOAD : LOAD;
  const perSecond = load * shape.targets * engineCapacity();
  const workload = new Workload(tenCustomers(perSecond), seed);
  const cluster = new Cluster(
    {shape, chooser: 'ours', ...policy, maxReportLagMs: 5000, seed},
    workload,
    WINDOWS
  );
  const goneMs = runOutage(cluster, kind);
  return figuresOf(cluster, goneMs);
}

/** Runs the outage; returns how long the zone still got new work after it began. */
function runOutage(cluster: Cluster, kind: Kind): number {
  const {events} = cluster;
  const zone = cluster.inZone(ZONE);
  events.runUntil(OUT_AT_MS);
  if (kind === 'sudden') cluster.killZone(ZONE);
  else cluster.setZoneOut(ZONE, true);
  events.runUntil(IN_AT_MS);
  const last = Math.max(...zone.map(({gate}) => gate.lastStartAt));
  if (kind !== 'sudden') {
    // The outage stands for maintenance, which restarts the engines: they return cold.
    zone.forEach(({gate}) => gate.engine.kill(false));
    cluster.reviveZone(ZONE, COLD_START);
    cluster.setZoneOut(ZONE, false);
  } else {
    cluster.reviveZone(ZONE, COLD_START);
  }
  events.runUntil(END_MS + DRAIN_MS);
  return Math.max(0, last - OUT_AT_MS);
}

/** Refusals and latency of the customers with the smallest share. */
function smallCustomers({recorder, workload}: Cluster): Figures {
  const small = workload.customers.filter(({share}) => share === 1);
  const inWindow = (name: string) =>
    small.map(({customer}) => recorder.customerWindow(customer, name));
  const refused = WINDOWS.flatMap(({name}) => inWindow(name)).reduce(
    (sum, figures) => sum + figures.outcomes.refused,
    0
  );
  const [steady, out] = ['steady', 'out'].map(name =>
    pooledP95(inWindow(name).map(figures => figures.firstToken))
  );
  return {smallRefused: refused, smallFirstTokenP95OutRatio: out! / steady!};
}

function figuresOf(cluster: Cluster, newWorkGoneMs: number): Figures {
  const [steady, out, back] = ['steady', 'out', 'return'].map(name =>
    cluster.recorder.window(name)
  );
  const sum = (pick: (figures: WindowFigures) => number) =>
    pick(steady!) + pick(out!) + pick(back!);
  const firstToken = (figures: WindowFigures) =>
    WindowFigures.ms(figures.firstToken, 95);
  const between = (figures: WindowFigures) =>
    WindowFigures.ms(figures.betweenTokens, 95);
  const engines = cluster.targets.map(({gate}) => gate.engine);
  return {
    failed: sum(figures => figures.outcomes.failed),
    refused: sum(figures => figures.outcomes.refused),
    late: sum(figures => figures.outcomes.late),
    answered: sum(figures => figures.outcomes.answered),
    newWorkGoneMs,
    ...smallCustomers(cluster),
    firstTokenP95SteadyMs: firstToken(steady!),
    firstTokenP95OutRatio: firstToken(out!) / firstToken(steady!),
    firstTokenP95ReturnRatio: firstToken(back!) / firstToken(steady!),
    betweenTokensP95SteadyMs: between(steady!),
    betweenTokensP95OutRatio: between(out!) / between(steady!),
    betweenTokensP95ReturnRatio: between(back!) / between(steady!),
    resumeGapP95Ms: WindowFigures.ms(out!.resumeGap, 95),
    coldOverBearable: Math.max(...engines.map(e => e.maxLoadRatio)),
    coldFalls: engines.reduce((total, engine) => total + engine.crashCount, 0),
  };
}

/** The highest value of each figure over several runs. */
function highestFigures(runs: readonly Figures[]): Figures {
  const names = Object.keys(runs[0]!);
  return Object.fromEntries(
    names.map(name => [name, Math.max(...runs.map(run => run[name]!))])
  );
}

function runAll(
  policy: Policy,
  shapes: readonly DeploymentShape[],
  options: MeasureOptions
): Figures {
  const all: [string, number][] = [];
  const count = options.quick ? 1 : FULL_RUN_SEEDS;
  const seeds = Array.from({length: count}, (_, i) => options.seed + i);
  for (const shape of shapes)
    for (const kind of KINDS) {
      const figures = highestFigures(
        seeds.map(seed => runOne(shape, kind, policy, seed))
      );
      for (const [name, value] of Object.entries(figures))
        all.push([`${shape.name}.${kind}.${name}`, value]);
    }
  return Object.fromEntries(all);
}

function failureCause(ours: Figures): string | undefined {
  for (const [name, value] of Object.entries(ours)) {
    if (name.includes('.overload.') && !name.endsWith('.failed')) continue;
    if (name.endsWith('.failed') && value > 0)
      return `${name}: the retry budget was used up`;
    if (name.endsWith('.newWorkGoneMs') && value > MAX_NEW_WORK_MS)
      return `${name} is ${value} ms`;
    if (name.endsWith('.coldFalls') && value > 0)
      return `${name}: a cold engine was overloaded`;
    if (/firstTokenP95(Out|Return)Ratio$/.test(name))
      if (value > MAX_LATENCY_RATIO)
        return `${name} is ${value.toFixed(2)}: the rest runs fuller batches`;
  }
  return undefined;
}

async function run(options: MeasureOptions): Promise<MeasureResult> {
  const shapes = [SHANNONSIDE, ABZEICHENWERK];
  const ours = runAll(OURS, shapes, options);
  // The deployments differ only in the path to the callers, so quick runs compare one.
  const compared = options.quick ? [SHANNONSIDE] : shapes;
  const baselines = Object.fromEntries(
    Object.entries(BASELINES).map(
      ([name, policy]) => [name, runAll(policy, compared, options)] as const
    )
  );
  const cause = failureCause(ours);
  return {
    ours,
    baselines,
    mark: 'none failed, new work gone in 3 s, p95 first token at most 1.5 of steady, no cold engine overloaded',
    met: cause === undefined,
    cause,
  };
}

/** See the head of this file. */
export const zoneOutage: Measure = {key: 'zoneOutage', run};
