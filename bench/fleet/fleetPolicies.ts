/** Policies that assign models to targets: the product and two baselines. */

import {FleetDemand, demandByModel} from '../../src/policy/fleetDemand';
import {FLEET_DEFAULTS, planFleet} from '../../src/policy/fleetPlan';
import type {ModelAssignment} from '../../src/policy/fleetTally';
import {WARM_CONCURRENCY, WARMUP_MS} from './fleetSimulation';
import type {FleetSimulation} from './fleetSimulation';

/** Assumed time of a model load before the first one was observed. */
const INITIAL_LOAD_MS = 90_000;
/** Weight of a new load time in the moving average. */
const LOAD_TIME_SMOOTHING = 0.2;

/** Decides the orders for the present state of the fleet. */
export type FleetPolicy = (
  fleet: FleetSimulation
) => readonly ModelAssignment[];

/** The decision of the product, with the input that control has. */
export function productPolicy(): FleetPolicy {
  const demand = new FleetDemand();
  let loadMs = INITIAL_LOAD_MS;
  return fleet => {
    const targets = fleet.view();
    const work = targets.map(({model, work: requests}) => ({
      model,
      outstanding: Math.min(requests, WARM_CONCURRENCY),
      queued: Math.max(0, requests - WARM_CONCURRENCY),
    }));
    demand.observe(demandByModel(work, WARM_CONCURRENCY), fleet.nowMs);
    for (const observedMs of fleet.loadTimes)
      loadMs += LOAD_TIME_SMOOTHING * (observedMs - loadMs);
    fleet.loadTimes = [];
    if (!demand.settled(fleet.nowMs)) return [];
    const view = {
      models: fleet.served,
      targets,
      open: fleet.openOrders(),
      demand: demand.smoothedByModel(),
      halted: new Set<string>(),
      full: WARM_CONCURRENCY,
      loadMs,
      warmupMs: WARMUP_MS,
      nowMs: fleet.nowMs,
    };
    return planFleet(view, FLEET_DEFAULTS).changes;
  };
}

/** Baseline: targets keep their initial models, which fit the daily mean. */
export function staticPolicy(): FleetPolicy {
  return () => [];
}

/**
 * Baseline: divides the pool by the present demand each time. Orders another
 * model for every target beyond the number for its model.
 */
export function greedyPolicy(): FleetPolicy {
  return fleet => {
    const {demand, served} = fleet;
    const targets = fleet.view();
    const total = demand.reduce((a, b) => a + b, 0);
    const unreserved =
      targets.length - served.reduce((sum, one) => sum + one.min, 0);
    const remainingByModel = new Map(
      served.map(({model, min}, index) => [
        model,
        min + Math.floor((unreserved * demand[index]!) / total),
      ])
    );
    const changing = new Set(fleet.openOrders().map(({targetId}) => targetId));
    const surplus = targets.filter(({model = '', targetId}) => {
      if (changing.has(targetId)) return false;
      const remaining = (remainingByModel.get(model) ?? 0) - 1;
      remainingByModel.set(model, remaining);
      return remaining < 0;
    });
    for (const {model} of fleet.openOrders())
      remainingByModel.set(model, (remainingByModel.get(model) ?? 0) - 1);
    return surplus.flatMap(({targetId}) => {
      const underserved = served.find(
        ({model}) => (remainingByModel.get(model) ?? 0) > 0
      );
      if (underserved === undefined) return [];
      remainingByModel.set(
        underserved.model,
        (remainingByModel.get(underserved.model) ?? 0) - 1
      );
      return [
        {targetId, model: underserved.model, version: underserved.version},
      ];
    });
  };
}
