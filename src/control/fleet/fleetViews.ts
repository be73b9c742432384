/** What the decision on models sees, from announcements, rules and the log. */

import type {Announcement} from '../../core/wire';
import {workByModel} from '../../policy/fleetDemand';
import type {FleetView} from '../../policy/fleetPlan';
import type {FleetTarget} from '../../policy/fleetTally';
import {printRuleWords} from '../../rules/printRules';
import type {ServeRule} from '../../rules/rule';
import type {RuleIndex} from '../../rules/ruleIndex';
import type {FleetState} from './fleetState';

/** Orders for a rule that fail one after the other until none is given. */
const MAX_FAILURES = 2;

/** What is known beside rules, log and announcements. */
export interface FleetTimes {
  readonly demand: ReadonlyMap<string, number>;
  readonly loadMs: number;
  /** When the last order to a target ended, as far as this leader saw it. */
  readonly changedAtMs: ReadonlyMap<string, number>;
  readonly nowMs: number;
}

/** Targets that orders may go to: a group of ranks holds its model together. */
export function orderable(
  targets: readonly Announcement[],
  pool: string
): readonly Announcement[] {
  return targets.filter(one => one.pool === pool && one.group === undefined);
}

/** Demand in a pool now, in requests at once by model. */
export function poolWork(
  targets: readonly Announcement[],
  rules: RuleIndex,
  pool: string
): ReadonlyMap<string, number> {
  const all = targets.filter(one => one.pool === pool);
  return workByModel(all, rules.warmup(pool).full);
}

/** The key by which failures of orders are counted. */
export function ruleKey(rule: ServeRule): string {
  return printRuleWords(rule);
}

/** The view of one pool. */
export function poolView(
  targets: readonly Announcement[],
  rules: RuleIndex,
  pool: string,
  state: FleetState,
  times: FleetTimes
): FleetView {
  const serves = rules.serves(pool);
  const {full, overMs} = rules.warmup(pool);
  const own = orderable(targets, pool);
  const halted = serves.filter(
    rule => state.failuresOf(ruleKey(rule)) >= MAX_FAILURES
  );
  return {
    models: serves,
    targets: own.map(target => fleetTarget(target, rules, state, times)),
    open: state.open(),
    halted: new Set(halted.map(({model}) => model)),
    full,
    warmupMs: overMs,
    ...times,
  };
}

function fleetTarget(
  target: Announcement,
  rules: RuleIndex,
  state: FleetState,
  {changedAtMs}: FleetTimes
): FleetTarget {
  const {targetId, availabilityZone, model, modelVersion} = target;
  const held = state.changedTo(targetId);
  return {
    targetId,
    availabilityZone,
    model,
    modelVersion,
    serving:
      target.state === 'serving' &&
      target.limit > 0 &&
      !rules.isZoneOut(availabilityZone),
    temperature: target.temperature,
    changed: held?.model === model && held?.version === modelVersion,
    changedAtMs: changedAtMs.get(targetId),
    work: target.outstanding + target.queued,
    limit: target.limit,
  };
}
