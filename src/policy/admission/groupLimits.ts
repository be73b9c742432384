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
import type {LimitRise} from './limitRise';
import {nextLimitRise} from './limitRise';

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
  private readonly rises = new Map<string, LimitRise>();

  /** Starts a new term: limits begin at the requests that are running. */
  restart(): void {
    this.rises.clear();
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
    const {engine, goals, hasAllReports, isPrioritized = false, nowMs} = input;
    const {ranks, running, paceMs, outlook} = group;
    const costAt = (skew: number) => passMsPerRequest({engine, ranks, skew});
    const fixedMs = fixedPassMs(engine);
    const correction = this.correctionOf(group.name);
    const varyingMs = paceMs - fixedMs;
    const isMeasured =
      hasAllReports &&
      running >= MIN_RUNNING_TO_MEASURE &&
      varyingMs > 0 &&
      !outlook.isHeld;
    const expectedMs = costAt(outlook.skew);
    if (isMeasured) correction.record(varyingMs / running, expectedMs, nowMs);
    const {factor} = correction;
    const costMs = isMeasured ? varyingMs / running : factor * expectedMs;
    // Streams outlast the time until a shift is due, so those admitted right after
    // a shift still run at the next one.
    const shiftSkew = isPrioritized ? outlook.shiftSkew : outlook.dueSkew;
    const shiftMs = factor * costAt(shiftSkew);
    const sustainedMs = sustainedPassLimitMs(goals) - fixedMs;
    const shiftLimitMs = shiftPassLimitMs(goals) - fixedMs;
    return smallest([
      {concurrency: group.slots, reason: 'slots'},
      {concurrency: requestsWithin(sustainedMs, costMs), reason: 'passes'},
      {concurrency: requestsWithin(shiftLimitMs, shiftMs), reason: 'shift'},
    ]);
  }

  /** Lets the limit of a prioritized service rise slowly toward its bound. */
  private applyRise(
    {name, running, paceMs, outlook}: GroupLoad,
    bound: GroupLimit,
    {goals, hasAllReports, isPrioritized = false, nowMs}: GroupLimitsInput
  ): GroupLimit {
    if (!isPrioritized) {
      this.rises.delete(name);
      return bound;
    }
    const isInTime = paceMs > 0 && paceMs <= shiftPassLimitMs(goals);
    const next = nextLimitRise(this.rises.get(name), {
      bound: bound.concurrency,
      running,
      hasAllReports,
      isServedInTime: isInTime && !outlook.isHeld,
      nowMs,
    });
    this.rises.set(name, next);
    const isRisen = next.limit >= bound.concurrency * MIN_RISEN_RATIO;
    return {
      concurrency: next.limit,
      reason: isRisen ? bound.reason : 'rise',
    };
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
    for (const byName of [this.corrections, this.rises])
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
