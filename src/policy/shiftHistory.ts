/**
 * Predicts from recent demand shifts how high the skew will be after the next
 * one, and whether one may come soon.
 *
 * Shifts have about the same size and come some seconds apart. Before a shift the
 * group must run no more requests than its passes can serve in time right after
 * it. Right after a shift a backlog has built up already, and rejecting it would
 * protect nothing.
 */

/** Shifts come within seconds of each other or not at all; older ones expire. */
const HISTORY_MS = 12_000;
/** Requests that run during the next shift were admitted this long before it. */
const ADMISSION_LEAD_MS = 1_000;
/** Shifts below this ratio of the highest skew do not count for intervals. */
const MAIN_SHIFT_RATIO = 0.6;

/**
 * Skew assumed before any shift was observed: that of experts assigned round
 * robin with a few of them in demand. When a group forms, all its callers come
 * back at once, and passes under its first map are as long as right after a
 * shift.
 */
export const INITIAL_SKEW = 3;

interface Shift {
  readonly atMs: number;
  readonly skew: number;
}

/** Skews right after recent demand shifts. */
export class ShiftHistory {
  private shifts: Shift[];

  /** `inheritedSkew` was reported by an earlier leader; 0 if unknown. */
  constructor(inheritedSkew: number, nowMs: number) {
    this.shifts = [
      {atMs: nowMs, skew: inheritedSkew > 0 ? inheritedSkew : INITIAL_SKEW},
    ];
  }

  /** Records the skew of the active map right after a shift. */
  recordShift(skew: number, nowMs: number): void {
    this.shifts.push({atMs: nowMs, skew});
    this.dropExpired(nowMs);
  }

  /** Highest skew of a recent shift; 0 if there was none. */
  worstSkew(nowMs: number): number {
    this.dropExpired(nowMs);
    return Math.max(0, ...this.shifts.map(({skew}) => skew));
  }

  /**
   * Skew of the shift that may come soon: the highest recent one. It is 0 until
   * the shortest recent interval, minus the admission lead, has passed since the
   * last shift.
   */
  dueSkew(nowMs: number): number {
    const worst = this.worstSkew(nowMs);
    const times = this.shifts
      .filter(({skew}) => skew >= worst * MAIN_SHIFT_RATIO)
      .map(({atMs}) => atMs);
    const [first = nowMs, ...rest] = times;
    if (rest.length === 0) return worst;
    const intervalsMs = rest.map((atMs, i) => atMs - (times[i] ?? first));
    const lastMs = rest[rest.length - 1] ?? first;
    const isDue =
      nowMs - lastMs >= Math.min(...intervalsMs) - ADMISSION_LEAD_MS;
    return isDue ? worst : 0;
  }

  private dropExpired(nowMs: number): void {
    this.shifts = this.shifts.filter(({atMs}) => atMs >= nowMs - HISTORY_MS);
  }
}
