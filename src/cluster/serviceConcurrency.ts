/** Concurrency of a service, from the targets and loads of its groups of ranks. */

import {sum} from '../core/sum';
import type {MapOutlook} from '../policy/mapOutlook';
import {EVEN_OUTLOOK, FIRST_MAP_OUTLOOK} from '../policy/mapOutlook';
import type {
  GroupLimit,
  GroupLimits,
  GroupLoad,
  LimitReason,
} from '../policy/admission/groupLimits';
import type {PermitTarget} from '../policy/targetPermits';
import type {TargetRecord} from '../site/announcement';
import {groupNameOf, groupStatuses, isInOpenGroup} from '../site/groupStatus';
import type {EngineProfile, SiteService} from '../site/site';
import type {StreamGoals} from '../site/streamGoals';
import type {ServiceLoad} from './messages';
import {inFlightOf} from './nodeReports';

/**
 * Requests that wait at a plain target for each slot, so that the next one is
 * there when a slot becomes free.
 */
const QUEUED_PER_PLAIN_SLOT = 1;

/** Turns a rate limit into requests that run at once. */
const ASSUMED_SERVICE_TIME_S = 1;

/** What the concurrency of a service is computed from. */
export interface ConcurrencyInput {
  readonly service: SiteService;
  readonly records: readonly TargetRecord[];
  /** Loads of the service at all nodes. */
  readonly loads: readonly ServiceLoad[];
  readonly goals: StreamGoals;
  /** Whether all nodes have reported their loads. */
  readonly allNodesReported: boolean;
  /** Whether the routes of the service differ in priority; false if absent. */
  readonly isPrioritized?: boolean;
  /** Period in which each node reports, milliseconds; 0 if absent. */
  readonly reportPeriodMs?: number;
  /** Whether a target wants nothing from any node now. */
  isClosed(targetId: string): boolean;
  /** Undefined while nothing controls the maps of the group. */
  outlookOf(group: string): MapOutlook | undefined;
  readonly nowMs: number;
}

/** Requests that a service may run at once. */
export interface ServiceConcurrency {
  readonly total: number;
  readonly targets: readonly PermitTarget[];
  /** Empty for services whose groups have no limits. */
  readonly groups: readonly (GroupLoad & GroupLimit)[];
}

/**
 * Computes the current concurrency of a service. To be called once per report
 * period, since each call updates the pass costs that `limits` has observed.
 */
export function computeConcurrency(
  limits: GroupLimits,
  input: ConcurrencyInput
): ServiceConcurrency {
  const {service, records, goals} = input;
  const targets = permitTargets(service, records, input);
  const {engine} = service;
  if (engine === undefined || goals.pauseMs === 0)
    return {total: totalCapacity(targets), targets, groups: []};
  const loads = groupLoads(targets, input, engine);
  const {allNodesReported, isPrioritized, reportPeriodMs, nowMs} = input;
  const limitsByGroup = limits.update({
    engine,
    goals,
    groups: loads,
    hasAllReports: allNodesReported,
    isPrioritized,
    reportPeriodMs,
    nowMs,
  });
  const groups = loads.flatMap(load => {
    const limit = limitsByGroup.get(load.name);
    return limit === undefined ? [] : [{...load, ...limit}];
  });
  // Requests beyond the limit of a group must not reduce that of other groups.
  const hasSeveralGroups = groups.length > 1;
  const total = sum(
    groups.map(({concurrency, running}) =>
      hasSeveralGroups ? Math.max(concurrency, running) : concurrency
    )
  );
  return {total, targets, groups};
}

/** Reason for the limit of the most limited group; undefined without groups. */
export function tightestLimitReason({
  groups,
}: ServiceConcurrency): LimitReason | undefined {
  const byAllowedRatio = [...groups].sort(
    (a, b) => a.concurrency / a.slots - b.concurrency / b.slots
  );
  return byAllowedRatio[0]?.reason;
}

/** Targets of a service and the requests that each takes at once. */
function permitTargets(
  service: SiteService,
  records: readonly TargetRecord[],
  {isClosed}: ConcurrencyInput
): readonly PermitTarget[] {
  const requestsPerSlot =
    service.engine === undefined ? 1 + QUEUED_PER_PLAIN_SLOT : 1;
  return usableTargets(service.name, records).map(record => ({
    id: record.id,
    capacity: isClosed(record.id) ? 0 : capacityOf(record, requestsPerSlot),
    availabilityZone: record.availabilityZone,
    group: groupNameOf(record),
  }));
}

/**
 * Slots that a rate limit leaves unused must not count, as those of a target at rest:
 * they would admit requests that no target takes.
 */
function capacityOf(
  {slots, rateLimit}: TargetRecord,
  requestsPerSlot: number
): number {
  const capacity = slots * requestsPerSlot;
  if (rateLimit === undefined) return capacity;
  const running = Math.ceil(rateLimit * ASSUMED_SERVICE_TIME_S);
  return Math.min(capacity, Math.max(1, running));
}

function groupLoads(
  targets: readonly PermitTarget[],
  {loads, outlookOf}: ConcurrencyInput,
  engine: EngineProfile
): readonly GroupLoad[] {
  const byGroup = new Map<string, PermitTarget[]>();
  for (const target of targets) {
    const members = byGroup.get(target.group) ?? [];
    byGroup.set(target.group, members);
    members.push(target);
  }
  // With one group, requests at targets that dropped out count too: they are
  // retried in the same group.
  const isOnlyGroup = byGroup.size === 1;
  const running = runningByGroup(targets, loads);
  return [...byGroup].map(([name, members]) => ({
    name,
    ranks: members.length,
    slots: totalCapacity(members),
    running: isOnlyGroup ? inFlightOf(loads) : (running.get(name) ?? 0),
    paceMs: medianPassMs(loads, name),
    outlook: outlookOf(name) ?? defaultOutlook(engine),
  }));
}

/** Requests of all nodes at the targets of each group. */
function runningByGroup(
  targets: readonly PermitTarget[],
  loads: readonly ServiceLoad[]
): ReadonlyMap<string, number> {
  const groupOf = new Map(targets.map(({id, group}) => [id, group]));
  const running = new Map<string, number>();
  for (const {byTarget} of loads)
    for (const [id, count] of Object.entries(byTarget)) {
      const group = groupOf.get(id);
      if (group !== undefined)
        running.set(group, (running.get(group) ?? 0) + count);
    }
  return running;
}

/**
 * Pass duration of a group: the median over nodes, so that one that reads slowly
 * does not distort it; 0 when no stream runs.
 */
export function medianPassMs(
  loads: readonly ServiceLoad[],
  group: string
): number {
  const durationsMs = loads
    .map(({pacesMs}) => pacesMs[group] ?? 0)
    .filter(ms => ms > 0)
    .sort((a, b) => a - b);
  return durationsMs[Math.floor(durationsMs.length / 2)] ?? 0;
}

function totalCapacity(targets: readonly PermitTarget[]): number {
  return sum(targets.map(({capacity}) => capacity));
}

/** For a group whose maps nothing controls yet, as when it has just re-formed. */
function defaultOutlook({expertSets}: EngineProfile): MapOutlook {
  return expertSets > 0 ? FIRST_MAP_OUTLOOK : EVEN_OUTLOOK;
}

function usableTargets(
  service: string,
  records: readonly TargetRecord[]
): readonly TargetRecord[] {
  const statuses = groupStatuses(records);
  return records.filter(
    record =>
      record.service === service &&
      record.state === 'ready' &&
      isInOpenGroup(record, statuses)
  );
}
