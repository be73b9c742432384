/** Ways to give models to targets: ours, none, and anew at each look. */

import {FleetDemand, workByModel} from '../../src/policy/fleetDemand';
import {FLEET_DEFAULTS, planFleet} from '../../src/policy/fleetPlan';
import type {FleetChange} from '../../src/policy/fleetTally';
import {FULL, WARMUP_MS} from './fleetWorld';
import type {FleetWorld} from './fleetWorld';

const FIRST_LOAD_MS = 90_000;
const LEARN_PART = 0.2;

/** Orders to give after a look at the world. */
export type FleetPolicy = (world: FleetWorld) => readonly FleetChange[];

/** The decision of the product, fed by what control sees. */
export function ourPolicy(): FleetPolicy {
  const demand = new FleetDemand();
  let loadMs = FIRST_LOAD_MS;
  return world => {
    const targets = world.view();
    const work = targets.map(({model, work: inHand}) => ({
      model,
      outstanding: Math.min(inHand, FULL),
      queued: Math.max(0, inHand - FULL),
    }));
    demand.observe(workByModel(work, FULL), world.nowMs);
    for (const seen of world.loadTimes) loadMs += LEARN_PART * (seen - loadMs);
    world.loadTimes = [];
    if (!demand.settled(world.nowMs)) return [];
    const view = {
      models: world.served,
      targets,
      open: world.open(),
      demand: demand.levelsNow(),
      halted: new Set<string>(),
      full: FULL,
      loadMs,
      warmupMs: WARMUP_MS,
      nowMs: world.nowMs,
    };
    return planFleet(view, FLEET_DEFAULTS).changes;
  };
}

/** Every target keeps what it was given for the day's mean. */
export function staticPolicy(): FleetPolicy {
  return () => [];
}

/**
 * Divides the pool anew by the demand of the moment and orders every target
 * that does not fit; those that fit are left in place.
 */
export function greedyPolicy(): FleetPolicy {
  return world => {
    const {demand, served} = world;
    const targets = world.view();
    const total = demand.reduce((a, b) => a + b, 0);
    const room = targets.length - served.reduce((n, one) => n + one.min, 0);
    const due = new Map(
      served.map(({model, min}, index) => [
        model,
        min + Math.floor((room * demand[index]!) / total),
      ])
    );
    const changing = new Set(world.open().map(({targetId}) => targetId));
    const over = targets.filter(({model = '', targetId}) => {
      if (changing.has(targetId)) return false;
      const left = (due.get(model) ?? 0) - 1;
      due.set(model, left);
      return left < 0;
    });
    for (const {model} of world.open())
      due.set(model, (due.get(model) ?? 0) - 1);
    return over.flatMap(({targetId}) => {
      const short = served.find(({model}) => (due.get(model) ?? 0) > 0);
      if (short === undefined) return [];
      due.set(short.model, (due.get(short.model) ?? 0) - 1);
      return [{targetId, model: short.model, version: short.version}];
    });
  };
}
