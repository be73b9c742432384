/** Builds the input of model planning from announcements, rules and the log. */

import type {Announcement} from '../../core/wire';
import {demandByModel} from '../../policy/fleetDemand';
import type {FleetView} from '../../policy/fleetPlan';
import type {FleetTarget} from '../../policy/fleetTally';
import {printRuleWords} from '../../rules/printRules';
import type {ServeRule} from '../../rules/rule';
import type {RuleIndex} from '../../rules/ruleIndex';
import type {FleetState} from './fleetState';

/** After this many consecutive failures a rule gets no more orders. */
const MAX_CONSECUTIVE_FAILURES = 2;

/** Measurements of the leader that are in no rule, log or announcement. */
export interface FleetEstimates {
  readonly demand: ReadonlyMap<string, number>;
  readonly loadMs: number;
  /** When the last order to each target ended, if this leader recorded it. */
  readonly changedAtMs: ReadonlyMap<string, number>;
  readonly nowMs: number;
}

/**
 * Targets of a pool that orders may be sent to. Ranks of a group are excluded,
 * as all ranks of a group hold one model together.
 */
export function orderableTargets(
  targets: readonly Announcement[],
  pool: string
): readonly Announcement[] {
  return targets.filter(one => one.pool === pool && one.group === undefined);
}

/** Current demand in a pool by model, in concurrent requests. */
export function poolDemand(
  targets: readonly Announcement[],
  rules: RuleIndex,
  pool: string
): ReadonlyMap<string, number> {
  const all = targets.filter(one => one.pool === pool);
  return demandByModel(all, rules.warmup(pool).full);
}

/** The key under which failed orders of a rule are counted. */
export function ruleKey(rule: ServeRule): string {
  return printRuleWords(rule);
}

/** The planning input for one pool. */
export function poolView(
  targets: readonly Announcement[],
  rules: RuleIndex,
  pool: string,
  state: FleetState,
  estimates: FleetEstimates
): FleetView {
  const serves = rules.serveRules(pool);
  const {full, overMs} = rules.warmup(pool);
  const orderable = orderableTargets(targets, pool);
  const halted = serves.filter(
    rule => state.failuresOf(ruleKey(rule)) >= MAX_CONSECUTIVE_FAILURES
  );
  return {
    models: serves,
    targets: orderable.map(target =>
      fleetTarget(target, rules, state, estimates)
    ),
    open: state.open(),
    halted: new Set(halted.map(({model}) => model)),
    full,
    warmupMs: overMs,
    ...estimates,
  };
}

function fleetTarget(
  target: Announcement,
  rules: RuleIndex,
  state: FleetState,
  {changedAtMs}: FleetEstimates
): FleetTarget {
  const {targetId, availabilityZone, model, modelVersion} = target;
  const lastModel = state.lastModelOf(targetId);
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
    changed: lastModel?.model === model && lastModel?.version === modelVersion,
    changedAtMs: changedAtMs.get(targetId),
    work: target.outstanding + target.queued,
    limit: target.limit,
  };
}
