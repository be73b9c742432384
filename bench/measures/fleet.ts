/**
 * `fleet`: demand served and weights loaded while demand moves between models
 * over a day, for each policy that assigns models to targets.
 */

import {
  greedyPolicy,
  productPolicy,
  staticPolicy,
} from '../fleet/fleetPolicies';
import type {FleetPolicy} from '../fleet/fleetPolicies';
import {WARM_CONCURRENCY, FleetSimulation} from '../fleet/fleetSimulation';
import type {FleetShape} from '../fleet/fleetSimulation';
import type {Figures, Measure, MeasureOptions, MeasureResult} from '../measure';

const HOURS = 24;
const MS_PER_SECOND = 1000;

function shapes({
  quick,
  seed,
}: MeasureOptions): Readonly<Record<string, FleetShape>> {
  return {
    twelve: {
      targets: 12,
      models: 3,
      storeGbPerMs: 2 / 1000,
      min: 2,
      tickMs: quick ? 10_000 : 5_000,
      seed,
    },
    thousand: {
      targets: 1000,
      models: 9,
      storeGbPerMs: 20 / 1000,
      min: 3,
      tickMs: quick ? 60_000 : 10_000,
      seed,
    },
  };
}

function runOne(shape: FleetShape, policy: FleetPolicy): FleetSimulation {
  const world = new FleetSimulation(shape);
  while (!world.isOver) {
    world.applyOrders(policy(world));
    world.tick();
  }
  return world;
}

function figuresOf(name: string, {totals}: FleetSimulation, tickMs: number) {
  const {demand, served, waiting, loadedGb} = totals;
  return {
    [`${name}ServedRatio`]: served / demand,
    [`${name}WaitingRequestSeconds`]: Math.round(
      (waiting * tickMs) / MS_PER_SECOND
    ),
    [`${name}LoadedGb`]: Math.round(loadedGb),
    [`${name}BelowMinSeconds`]: totals.belowMinMs / MS_PER_SECOND,
    [`${name}ChangesPerHour`]: totals.changes / HOURS,
  };
}

function allShapes(
  options: MeasureOptions,
  create: () => FleetPolicy
): Figures {
  const parts = Object.entries(shapes(options)).map(([name, shape]) =>
    figuresOf(name, runOne(shape, create()), shape.tickMs)
  );
  return Object.assign({}, ...parts) as Figures;
}

/** Upper bound of the served ratio, as if every target could serve every model. */
function boundOf(options: MeasureOptions): Figures {
  const parts = Object.entries(shapes(options)).map(([name, shape]) => {
    const world = new FleetSimulation(shape);
    let demand = 0;
    let served = 0;
    while (!world.isOver) {
      world.tick();
      const now = world.demand.reduce((a, b) => a + b, 0);
      demand += now;
      served += Math.min(now, shape.targets * WARM_CONCURRENCY);
    }
    return {[`${name}ServedRatio`]: served / demand};
  });
  return Object.assign({}, ...parts) as Figures;
}

function failureCause(
  ours: Figures,
  baselines: readonly Figures[],
  greedy: Figures
): string | undefined {
  for (const name of ['twelve', 'thousand']) {
    const of = (figures: Figures, key: string) => figures[`${name}${key}`]!;
    if (of(ours, 'BelowMinSeconds') > 0) return `${name}: fell below min`;
    const best = Math.max(...baselines.map(one => of(one, 'ServedRatio')));
    if (of(ours, 'ServedRatio') < best)
      return `${name}: serves less than a baseline`;
    if (of(ours, 'LoadedGb') > of(greedy, 'LoadedGb'))
      return `${name}: loads more than dividing anew`;
  }
  return undefined;
}

async function run(options: MeasureOptions): Promise<MeasureResult> {
  const ours = allShapes(options, productPolicy);
  const greedy = allShapes(options, greedyPolicy);
  const unchanged = allShapes(options, staticPolicy);
  const cause = failureCause(ours, [unchanged, greedy], greedy);
  return {
    ours,
    baselines: {static: unchanged, greedy},
    bound: boundOf(options),
    mark: 'never below min, serves no less than either baseline, loads less than dividing anew',
    met: cause === undefined,
    cause,
  };
}

/** See the head of this file. */
export const fleet: Measure = {key: 'fleet', run};
