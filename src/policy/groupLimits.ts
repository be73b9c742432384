/**
 * Concurrency limits of the groups of one service.
 *
 * Pattern: groups of ranks that step apart from each other, and a slow rank that
 * holds one of them up. Each group takes the requests that it can serve in time;
 * one that can serve hardly any is left to a few probes.
 */

import type {PassProfile} from '../core/passProfile';
import type {MapOutlook} from './mapOutlook';
import {PassCorrection} from './passCorrection';
import {fixedPassMs, requestPassMs} from './passLength';

/** What callers of streams accept, milliseconds; 0 for none. */
export interface PassGoals {
  /** Longest pause between two events. */
  readonly pauseMs: number;
  /** Time to the first event. */
  readonly firstEventMs: number;
}

/** One group as the leader knows it. */
export interface GroupLoad {
  /** Empty for targets that work alone. */
  readonly name: string;
  readonly ranks: number;
  /** Requests that its targets take at once. */
  readonly slots: number;
  /** Requests of all nodes at its targets. */
  readonly running: number;
  /** Length of a pass as streams show it, milliseconds; 0 when none runs. */
  readonly paceMs: number;
  readonly outlook: MapOutlook;
}

/** What the limits rest on. */
export interface GroupLimitsInput {
  readonly engine: PassProfile;
  readonly goals: PassGoals;
  readonly groups: readonly GroupLoad[];
  /** Whether the loads are those of all nodes. */
  readonly isWhole: boolean;
  readonly nowMs: number;
}

/** What binds a limit. */
export type LimitReason =
  /** As many requests as the targets take. */
  | 'slots'
  /** Passes would last longer than callers accept. */
  | 'passes'
  /** The same, right after the shift of demand that is due. */
  | 'shift'
  /** Other groups serve callers in time, this one does not. */
  | 'slowGroup'
  /** No group serves callers in time; some are served late. */
  | 'slow';

/** Requests that one group may run at once. */
export interface GroupLimit {
  readonly concurrency: number;
  readonly reason: LimitReason;
}

/**
 * Longest passes, in parts of the accepted pause. Passes that last are kept below
 * it, with room for the copies of a switch. Those after a shift may exceed it: they
 * are so long for a moment only, and a caller that is rejected loses more than
 * one that gets a single event late.
 */
const LASTING_PAUSE_RATIO = 0.94;
const SHIFT_PAUSE_RATIO = 0.96;
/**
 * Passes until the first event: half a one until the next begins, one that reads
 * the prompt, one that writes, and one for the wait in the queue.
 */
const FIRST_EVENT_PASSES = 3.5;
/** A group that serves fewer of its slots in time is slow. */
const MIN_LIMIT_RATIO = 0.35;
/** Streams that go on showing the pace of a slow group. */
const PROBE_REQUESTS = 3;
/** Cost of a request of which nothing is known, milliseconds. */
const UNSEEN_MS = 1e-3;
/** With fewer requests the fixed part of a pass drowns what each one adds. */
const MIN_RUNNING = 4;

/** Limits by group; keeps what was seen of the passes of each. */
export class GroupLimits {
  private readonly corrections = new Map<string, PassCorrection>();

  /** Limits now; to be asked once each period of reports. */
  next(input: GroupLimitsInput): ReadonlyMap<string, GroupLimit> {
    const {groups} = input;
    this.retain(groups);
    const bounds = groups.map(group => ({
      group,
      bound: this.boundOf(group, input),
    }));
    const isServed = bounds.some(
      ({group, bound}) => bound.concurrency >= leastOf(group.slots)
    );
    return new Map(
      bounds.map(({group, bound}) => [
        group.name,
        limitOf(group, bound, isServed),
      ])
    );
  }

  /** Requests at which passes are no longer than callers accept. */
  private boundOf(group: GroupLoad, input: GroupLimitsInput): GroupLimit {
    const {engine, goals, isWhole, nowMs} = input;
    const {ranks, running, paceMs, outlook} = group;
    const costAt = (skew: number) => requestPassMs({engine, ranks, skew});
    const fixedMs = fixedPassMs(engine);
    const correction = this.correctionOf(group.name);
    const varyingMs = paceMs - fixedMs;
    const isSeen =
      isWhole && running >= MIN_RUNNING && varyingMs > 0 && !outlook.isHeld;
    const expectedMs = costAt(outlook.skew);
    if (isSeen) correction.note(varyingMs / running, expectedMs, nowMs);
    const {factor} = correction;
    const costMs = isSeen ? varyingMs / running : factor * expectedMs;
    const shiftMs = factor * costAt(outlook.dueSkew);
    const lastingMs = lastingLimitMs(goals) - fixedMs;
    const shiftLimitMs = goals.pauseMs * SHIFT_PAUSE_RATIO - fixedMs;
    return smallest([
      {concurrency: group.slots, reason: 'slots'},
      {concurrency: requestsIn(lastingMs, costMs), reason: 'passes'},
      {concurrency: requestsIn(shiftLimitMs, shiftMs), reason: 'shift'},
    ]);
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
    for (const name of this.corrections.keys())
      if (!names.has(name)) this.corrections.delete(name);
  }
}

function leastOf(slots: number): number {
  return slots * MIN_LIMIT_RATIO;
}

function limitOf(
  {slots}: GroupLoad,
  bound: GroupLimit,
  isServed: boolean
): GroupLimit {
  const least = leastOf(slots);
  if (bound.concurrency >= least) return bound;
  if (!isServed) return {concurrency: least, reason: 'slow'};
  const concurrency = Math.max(PROBE_REQUESTS, bound.concurrency);
  return {concurrency: Math.min(slots, concurrency), reason: 'slowGroup'};
}

function requestsIn(ms: number, costMs: number): number {
  return ms / Math.max(costMs, UNSEEN_MS);
}

function smallest(limits: readonly GroupLimit[]): GroupLimit {
  return limits.reduce((least, limit) =>
    limit.concurrency < least.concurrency ? limit : least
  );
}

/** Longest pass that keeps both goals for as long as it lasts. */
function lastingLimitMs({pauseMs, firstEventMs}: PassGoals): number {
  const forPauses = pauseMs * LASTING_PAUSE_RATIO;
  if (firstEventMs === 0) return forPauses;
  return Math.min(forPauses, firstEventMs / FIRST_EVENT_PASSES);
}
