/**
 * When the counts of which ranks are read. Each reading is paid for, so that
 * little is read while nothing changes, and much in the moment of a shift.
 *
 * The load it answers: every few seconds other experts come into demand, and
 * all passes slow down until a new map is in force. The pace of streams shows
 * it within two passes and costs nothing. Then some ranks are read twice, a
 * few passes apart: the difference holds the new demand alone. A reading that
 * reaches back across the shift gives plans for a mixture of both demands, and
 * further switches to mend them.
 */

import {unreachable} from '../core/errors';
import type {DemandChange} from './expertDemand';

/** Looks without an alarm, for shifts that hardly change the pace. */
const READ_PERIOD_MS = 1_000;
/** A pace that is longer than the usual one by this part tells of a shift. */
const SLOWER_PART = 0.25;
/** Least time between two alarms that the pace raises, milliseconds. */
const ALARM_PERIOD_MS = 700;
/** Between the two readings: a few passes, some thousand choices a set. */
const MEASURE_MS = 100;
/** After a second reading with too few choices. */
const REREAD_MS = 60;
/** Readings with too few choices after which other ranks are read. */
const EMPTY_READINGS = 3;
/**
 * Time in which the usual pace follows the present one: a map that helps shows
 * at once, a slow pace must not become usual before it is answered.
 */
const FALL_MS = 150;
const RISE_MS = 5_000;

/** A reading that is due. */
export interface DueReading {
  /** One rank, or all ranks of the sample. */
  readonly scope: 'one' | 'sample';
  /** Whether it only begins the window of the next one. */
  readonly isBegin: boolean;
  /** Whether its window began after a shift was suspected. */
  readonly isRecent: boolean;
}

type WatchState =
  | {
      readonly kind: 'watching';
      readonly dueAtMs: number;
    }
  | {readonly kind: 'alarmed'}
  | {
      readonly kind: 'measuring';
      readonly dueAtMs: number;
      readonly empty: number;
    };

/** Decides on readings; time is given with each call. */
export class DemandWatch {
  private state: WatchState = {kind: 'alarmed'};
  private isReading = false;
  private usualPaceMs = 0;
  private alarmAtMs = -Infinity;
  private lookedAtMs = 0;

  /** The reading that is due now; to be followed by `took`. */
  next(paceMs: number, nowMs: number): DueReading | undefined {
    this.watchPace(paceMs, nowMs);
    // Without streams nothing was chosen since the last reading.
    if (this.isReading || paceMs === 0) return undefined;
    const reading = this.dueAt(nowMs);
    this.isReading = reading !== undefined;
    return reading;
  }

  /** Takes in what the reading showed. */
  took(reading: DueReading, change: DemandChange, nowMs: number): void {
    this.isReading = false;
    if (reading.isBegin) {
      this.state = measureIn(MEASURE_MS, nowMs, 0);
      return;
    }
    switch (change) {
      case 'shifting':
        // The window that this reading began is as good as one begun anew.
        this.state =
          reading.scope === 'sample'
            ? measureIn(MEASURE_MS, nowMs, 0)
            : {kind: 'alarmed'};
        return;
      case 'shifted':
      case 'same':
        this.state = watchIn(READ_PERIOD_MS, nowMs);
        return;
      case 'nothing':
        this.tookNothing(nowMs);
        return;
      default:
        unreachable(change);
    }
  }

  /** Whether the ranks of the sample have no requests, and others are due. */
  get isEmpty(): boolean {
    return (
      this.state.kind === 'measuring' && this.state.empty >= EMPTY_READINGS
    );
  }

  private tookNothing(nowMs: number): void {
    const {state} = this;
    this.state =
      state.kind === 'measuring'
        ? measureIn(rereadMs(state.empty), nowMs, state.empty + 1)
        : watchIn(READ_PERIOD_MS, nowMs);
  }

  private dueAt(nowMs: number): DueReading | undefined {
    const {state} = this;
    switch (state.kind) {
      case 'watching':
        if (nowMs < state.dueAtMs) return undefined;
        return {scope: 'one', isBegin: false, isRecent: false};
      case 'alarmed':
        return {scope: 'sample', isBegin: true, isRecent: true};
      case 'measuring':
        if (nowMs < state.dueAtMs) return undefined;
        return {scope: 'sample', isBegin: false, isRecent: true};
      default:
        return unreachable(state);
    }
  }

  private watchPace(paceMs: number, nowMs: number): void {
    const elapsedMs = nowMs - this.lookedAtMs;
    this.lookedAtMs = nowMs;
    if (paceMs === 0) return;
    if (this.usualPaceMs === 0) {
      this.usualPaceMs = paceMs;
      return;
    }
    const isSlower = paceMs > this.usualPaceMs * (1 + SLOWER_PART);
    const isFresh = nowMs - this.alarmAtMs >= ALARM_PERIOD_MS;
    if (isSlower && isFresh && this.state.kind === 'watching') {
      this.alarmAtMs = nowMs;
      this.state = {kind: 'alarmed'};
    }
    const overMs = isSlower ? RISE_MS : FALL_MS;
    const part = 1 - Math.exp(-elapsedMs / overMs);
    this.usualPaceMs += (paceMs - this.usualPaceMs) * part;
  }
}

/** Longer each time: with hardly a request left, nothing is to be learned. */
function rereadMs(empty: number): number {
  return Math.min(READ_PERIOD_MS, REREAD_MS * 2 ** empty);
}

function measureIn(ms: number, nowMs: number, empty: number): WatchState {
  return {kind: 'measuring', dueAtMs: nowMs + ms, empty};
}

function watchIn(ms: number, nowMs: number): WatchState {
  return {kind: 'watching', dueAtMs: nowMs + ms};
}
