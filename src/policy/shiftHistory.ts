/**
 * How uneven the next shift of demand will make the load of the ranks, and
 * whether one may come soon, from the last ones.
 *
 * Pattern: shifts of about the same size, some seconds apart. Before one the group
 * must run no more requests than it can step in time right after it; right after
 * one a backlog has built up, and rejecting it protects nothing.
 */

/** Shifts come within seconds of each other, or not at all. */
const MEMORY_MS = 12_000;
/** Requests that run when the next shift comes were let in this long before. */
const LEAD_MS = 1_000;
/** A shift below this part of the largest skew is no measure of the pause. */
const MAIN_SHIFT_RATIO = 0.6;

/**
 * Before any shift was seen: experts that were dealt out in turn, and a few of
 * them in demand. A group that forms anew has all its callers coming back, and
 * passes under its first map are as long as right after a shift.
 */
export const FIRST_SKEW = 3;

interface Shift {
  readonly atMs: number;
  readonly skew: number;
}

/** Skews that shifts of demand brought lately. */
export class ShiftHistory {
  private shifts: Shift[];

  /** `known` is what an earlier leader told of shifts; 0 when nothing is known. */
  constructor(known: number, nowMs: number) {
    this.shifts = [{atMs: nowMs, skew: known > 0 ? known : FIRST_SKEW}];
  }

  /** Notes the skew at which a shift found the map in force. */
  note(skew: number, nowMs: number): void {
    this.shifts.push({atMs: nowMs, skew});
    this.forget(nowMs);
  }

  /** Highest skew of a recent shift; 0 when none came. */
  worst(nowMs: number): number {
    this.forget(nowMs);
    return Math.max(0, ...this.shifts.map(({skew}) => skew));
  }

  /** The same, or 0 while none came as soon after the one before. */
  due(nowMs: number): number {
    const worst = this.worst(nowMs);
    const times = this.shifts
      .filter(({skew}) => skew >= worst * MAIN_SHIFT_RATIO)
      .map(({atMs}) => atMs);
    const [first = nowMs, ...rest] = times;
    if (rest.length === 0) return worst;
    const pauses = rest.map((atMs, i) => atMs - (times[i] ?? first));
    const lastMs = rest[rest.length - 1] ?? first;
    const isSoon = nowMs - lastMs >= Math.min(...pauses) - LEAD_MS;
    return isSoon ? worst : 0;
  }

  private forget(nowMs: number): void {
    this.shifts = this.shifts.filter(({atMs}) => atMs >= nowMs - MEMORY_MS);
  }
}
