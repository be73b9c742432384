/**
 * Concurrency limits of the rank groups of one service.
 *
 * Groups run their passes independently, and one slow rank delays all passes of its
 * group. Each group is limited to the requests that it can serve in time; a group
 * that can serve hardly any gets only a few probe requests.
 */

import type {PassProfile} from '../../core/passProfile';
import type {MapOutlook} from '../mapOutlook';
import {PassCorrection} from '../passCorrection';
import {fixedPassMs, passMsPerRequest} from '../passDuration';
import type {RequestCosts} from './protectedLimit';
import {ProtectedLimit} from './protectedLimit';

/** Latency that callers of streams accept, milliseconds; 0 for no goal. */
export interface LatencyGoals {
  /** Maximum pause between two events. */
  readonly pauseMs: number;
  /** Maximum time to the first event. */
  readonly firstEventMs: number;
}

/** Load of one group as the leader knows it. */
export interface GroupLoad {
  /** Empty for targets that are in no group. */
  readonly name: string;
  readonly ranks: number;
  /** Requests that the targets of the group can run at once. */
  readonly slots: number;
  /** Requests of all nodes at the targets of the group. */
  readonly running: number;
  /** Pass duration measured on streams, milliseconds; 0 when none runs. */
  readonly paceMs: number;
  readonly outlook: MapOutlook;
}

/** Everything that the limits are computed from. */
export interface GroupLimitsInput {
  readonly engine: PassProfile;
  readonly goals: LatencyGoals;
  readonly groups: readonly GroupLoad[];
  /** Whether `groups` includes the loads of all nodes. */
  readonly hasAllReports: boolean;
  /**
   * Whether the pass after the next demand shift must always be in time, not only
   * when a shift is due; false if absent.
   */
  readonly isPrioritized?: boolean;
  /** Period in which each node reports, milliseconds; 0 if absent. */
  readonly reportPeriodMs?: number;
  readonly nowMs: number;
}

/** What determines a limit. */
export type LimitReason =
  /** The slots of the targets. */
  | 'slots'
  /** With more requests, passes would last longer than callers accept. */
  | 'passes'
  /** As `passes`, but right after the demand shift that is expected. */
  | 'shift'
  /** The limit may not rise yet, or not faster; only for prioritized services. */
  | 'rise'
  /** Other groups serve callers in time, but this one doesn't. */
  | 'slowGroup'
  /** No group serves callers in time, so some callers are served late. */
  | 'slow';

/** Concurrency limit of one group. */
export interface GroupLimit {
  readonly concurrency: number;
  readonly reason: LimitReason;
}

/**
 * Maximum pass durations, as ratios of the accepted pause. Sustained passes stay
 * below it by a margin for the expert copies of a map switch. Passes right after a
 * demand shift may come closer: they are that long only for a moment, and a caller
 * that is refused loses more than one that gets a single event late.
 */
const SUSTAINED_PAUSE_RATIO = 0.94;
const SHIFT_PAUSE_RATIO = 0.96;
/**
 * Passes until the first event: half a pass until the next one begins, one for
 * prefill, one for decoding, and one for the wait in the queue.
 */
const FIRST_EVENT_PASSES = 3.5;
/**
 * A group that can serve less than this ratio of its slots in time is slow. It is
 * also the limit of every group when all of them are slow.
 */
const MIN_LIMIT_RATIO = 0.35;
/** Requests kept at a slow group, so that its pass duration stays measured. */
const PROBE_REQUESTS = 3;
/** Lower bound for the cost of a request, to avoid division by zero. */
const MIN_REQUEST_COST_MS = 1e-3;
/** With fewer requests, what each one adds is too small against the fixed part. */
const MIN_RUNNING_TO_MEASURE = 4;
/** Below this ratio of its bound, a limit is bound by its rise. */
const MIN_RISEN_RATIO = 0.97;

/** Computes the limits by group; keeps the measured correction of each group. */
export class GroupLimits {
  private readonly corrections = new Map<string, PassCorrection>();
  /** Only for prioritized services. */
  private readonly protectedLimits = new Map<string, ProtectedLimit>();

  /** Starts a new term: limits begin at the requests that are running. */
  restart(): void {
    for (const limit of this.protectedLimits.values()) limit.restart();
  }

  /** Records measured passes and returns the limits; call once per report. */
  update(input: GroupLimitsInput): ReadonlyMap<string, GroupLimit> {
    const {groups} = input;
    this.retain(groups);
    const bounds = groups.map(group => ({
      group,
      bound: this.upperBound(group, input),
    }));
    const isAnyGroupOnTime = bounds.some(
      ({group, bound}) => bound.concurrency >= minConcurrency(group.slots)
    );
    return new Map(
      bounds.map(({group, bound}) => [
        group.name,
        this.applyRise(
          group,
          applyMinimum(group, bound, isAnyGroupOnTime),
          input
        ),
      ])
    );
  }

  /** Maximum requests with which passes last no longer than callers accept. */
  private upperBound(group: GroupLoad, input: GroupLimitsInput): GroupLimit {
    const {engine, goals, isPrioritized} = input;
    const fixedMs = fixedPassMs(engine);
    const passLimitMs = shiftPassLimitMs(goals);
    const costs = isPrioritized
      ? this.protectedLimitOf(group.name).costs(group, input, passLimitMs)
      : this.costs(group, input);
    const sustainedLimitMs = sustainedPassLimitMs(goals) - fixedMs;
    const shiftLimitMs = passLimitMs - fixedMs;
    const {sustainedMs, shiftMs} = costs;
    return smallest([
      {concurrency: group.slots, reason: 'slots'},
      {
        concurrency: requestsWithin(sustainedLimitMs, sustainedMs),
        reason: 'passes',
      },
      {concurrency: requestsWithin(shiftLimitMs, shiftMs), reason: 'shift'},
    ]);
  }

  private costs(group: GroupLoad, input: GroupLimitsInput): RequestCosts {
    const {engine, hasAllReports, nowMs} = input;
    const {ranks, running, paceMs, outlook} = group;
    const costAt = (skew: number) => passMsPerRequest({engine, ranks, skew});
    const correction = this.correctionOf(group.name);
    const varyingMs = paceMs - fixedPassMs(engine);
    const isMeasured =
      hasAllReports &&
      running >= MIN_RUNNING_TO_MEASURE &&
      varyingMs > 0 &&
      !outlook.isHeld;
    const expectedMs = costAt(outlook.skew);
    if (isMeasured) correction.record(varyingMs / running, expectedMs, nowMs);
    const {factor} = correction;
    return {
      sustainedMs: isMeasured ? varyingMs / running : factor * expectedMs,
      shiftMs: factor * costAt(outlook.dueSkew),
    };
  }

  /** Lets the limit of a prioritized service rise slowly toward its bound. */
  private applyRise(
    group: GroupLoad,
    bound: GroupLimit,
    input: GroupLimitsInput
  ): GroupLimit {
    const {name} = group;
    if (!input.isPrioritized) {
      this.protectedLimits.delete(name);
      return bound;
    }
    const conditions = {
      bound: bound.concurrency,
      passLimitMs: shiftPassLimitMs(input.goals),
    };
    const limit = this.protectedLimitOf(name);
    const concurrency = limit.rise(group, input, conditions);
    const isRisen = concurrency >= bound.concurrency * MIN_RISEN_RATIO;
    return {concurrency, reason: isRisen ? bound.reason : 'rise'};
  }

  private protectedLimitOf(name: string): ProtectedLimit {
    const known = this.protectedLimits.get(name);
    if (known !== undefined) return known;
    const limit = new ProtectedLimit();
    this.protectedLimits.set(name, limit);
    return limit;
  }

  private correctionOf(name: string): PassCorrection {
    const known = this.corrections.get(name);
    if (known !== undefined) return known;
    const correction = new PassCorrection();
    this.corrections.set(name, correction);
    return correction;
  }

  private retain(groups: readonly GroupLoad[]): void {
    const names = new Set(groups.map(({name}) => name));
    for (const byName of [this.corrections, this.protectedLimits])
      for (const name of byName.keys())
        if (!names.has(name)) byName.delete(name);
  }
}

function minConcurrency(slots: number): number {
  return slots * MIN_LIMIT_RATIO;
}

function applyMinimum(
  {slots}: GroupLoad,
  bound: GroupLimit,
  isAnyGroupOnTime: boolean
): GroupLimit {
  const least = minConcurrency(slots);
  if (bound.concurrency >= least) return bound;
  if (!isAnyGroupOnTime) return {concurrency: least, reason: 'slow'};
  const concurrency = Math.max(PROBE_REQUESTS, bound.concurrency);
  return {concurrency: Math.min(slots, concurrency), reason: 'slowGroup'};
}

function requestsWithin(ms: number, costMs: number): number {
  return ms / Math.max(costMs, MIN_REQUEST_COST_MS);
}

function smallest(limits: readonly GroupLimit[]): GroupLimit {
  return limits.reduce((least, limit) =>
    limit.concurrency < least.concurrency ? limit : least
  );
}

/** Longest pass duration right after a demand shift. */
function shiftPassLimitMs({pauseMs}: LatencyGoals): number {
  return pauseMs * SHIFT_PAUSE_RATIO;
}

/** Longest pass duration that meets both goals when it is sustained. */
function sustainedPassLimitMs({pauseMs, firstEventMs}: LatencyGoals): number {
  const forPauses = pauseMs * SUSTAINED_PAUSE_RATIO;
  if (firstEventMs === 0) return forPauses;
  return Math.min(forPauses, firstEventMs / FIRST_EVENT_PASSES);
}
