/**
 * `balance`: tail latency of the target choice, compared with a greedy choice
 * that knows the current load exactly, while load reports lag by up to 5 s.
 */

import type {Figures, Measure, MeasureOptions, MeasureResult} from '../measure';
import type {ChooserName} from '../emulator/choosers';
import {
  ABZEICHENWERK,
  Cluster,
  engineCapacity,
  LARGE,
  PRODUCT_GATE,
  SHANNONSIDE,
  type DeploymentShape,
} from '../emulator/cluster';
import {WindowFigures} from '../emulator/recorder';
import {tenCustomers, Workload} from '../emulator/workload';

const LOAD = 0.75;
const MAX_REPORT_LAG_MS = 5000;
/** Slowdown of the step time of one target in twelve. */
const STRAGGLER_SLOWDOWN = 1.5;
const STRAGGLER_INTERVAL = 12;
const WARM_UP_MS = 15_000;
/** Time after the end of the window for the last requests to end. */
const SETTLE_MS = 12_000;
/** Largest accepted ratio of p99 to that of the best choice; the users name no value. */
const MAX_RATIO_TO_BEST = 1.15;

const CHOOSERS: readonly ChooserName[] = [
  'ours',
  'roundRobin',
  'leastOutstanding',
  'twoChoices',
  'perfect',
];

interface Tail {
  readonly perTokenMs: number;
  readonly firstTokenMs: number;
}

function runOne(
  shape: DeploymentShape,
  chooser: ChooserName,
  seed: number,
  spanMs: number
): Tail {
  const perSecond = LOAD * shape.targets * engineCapacity();
  const workload = new Workload(tenCustomers(perSecond), seed);
  const endMs = WARM_UP_MS + spanMs;
  const cluster = new Cluster(
    {
      shape,
      chooser,
      gate: PRODUCT_GATE,
      entry: {retries: true, gradualReturn: true, responsesCarryLoad: true},
      maxReportLagMs: MAX_REPORT_LAG_MS,
      seed,
    },
    workload,
    [{name: 'all', fromMs: WARM_UP_MS, toMs: endMs}]
  );
  cluster.targets.forEach(({gate}, index) => {
    if (index % STRAGGLER_INTERVAL === 0)
      gate.engine.slowdown = STRAGGLER_SLOWDOWN;
  });
  cluster.events.runUntil(endMs + SETTLE_MS);
  const figures = cluster.recorder.window('all');
  return {
    perTokenMs: WindowFigures.ms(figures.perToken, 99),
    firstTokenMs: WindowFigures.ms(figures.firstToken, 99),
  };
}

type Tails = Readonly<Record<ChooserName, Tail>>;

function runShape(shape: DeploymentShape, seed: number, spanMs: number): Tails {
  const tails = CHOOSERS.map(
    chooser => [chooser, runOne(shape, chooser, seed, spanMs)] as const
  );
  return Object.fromEntries(tails) as Record<ChooserName, Tail>;
}

function figuresOf(
  chooser: ChooserName,
  byShape: ReadonlyMap<string, Tails>
): Figures {
  const entries = [...byShape].flatMap(([name, tails]) => {
    const own = tails[chooser];
    const best = tails.perfect;
    return [
      [`${name}.perTokenP99OverBest`, own.perTokenMs / best.perTokenMs],
      [`${name}.firstTokenP99OverBest`, own.firstTokenMs / best.firstTokenMs],
      [`${name}.perTokenP99Ms`, own.perTokenMs],
      [`${name}.firstTokenP99Ms`, own.firstTokenMs],
    ] as const;
  });
  return Object.fromEntries(entries);
}

function ratiosToBest(
  figures: Figures
): readonly (readonly [string, number])[] {
  return Object.entries(figures).filter(([name]) => name.endsWith('OverBest'));
}

function failureCause(
  ours: Figures,
  baselines: Readonly<Record<string, Figures>>
): string | undefined {
  for (const [name, value] of ratiosToBest(ours)) {
    if (value > MAX_RATIO_TO_BEST)
      return `${name} is ${value.toFixed(2)}: old reports hide bursts`;
    for (const [baseline, figures] of Object.entries(baselines))
      if (value > figures[name]!) return `${name}: ${baseline} does better`;
  }
  return undefined;
}

async function run(options: MeasureOptions): Promise<MeasureResult> {
  const spanMs = options.quick ? 120_000 : 300_000;
  const largeMs = options.quick ? 0 : 5000;
  const byShape = new Map<string, Tails>();
  for (const shape of [SHANNONSIDE, ABZEICHENWERK])
    byShape.set(shape.name, runShape(shape, options.seed, spanMs));
  if (largeMs > 0)
    byShape.set(LARGE.name, runShape(LARGE, options.seed, largeMs));
  const ours = figuresOf('ours', byShape);
  const baselines = {
    roundRobin: figuresOf('roundRobin', byShape),
    leastOutstanding: figuresOf('leastOutstanding', byShape),
    twoChoices: figuresOf('twoChoices', byShape),
  };
  const cause = failureCause(ours, baselines);
  return {
    ours,
    baselines,
    bound: figuresOf('perfect', byShape),
    mark: `p99 at most ${MAX_RATIO_TO_BEST} of the best choice and under every baseline`,
    met: cause === undefined,
    cause,
    plots: [
      {
        title: 'p99 of first token over the best choice, Shannonside',
        unit: 'ratio',
        series: CHOOSERS.map((name, x) => ({
          name,
          points: [
            {
              x,
              y: figuresOf(name, byShape)['shannonside.firstTokenP99OverBest']!,
            },
          ],
        })),
      },
    ],
  };
}

/** See the head of this file. */
export const balance: Measure = {key: 'balance', run};
