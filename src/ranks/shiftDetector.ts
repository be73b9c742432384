/**
 * When the counts of a sample of ranks are read.
 *
 * Pattern: other experts come into demand every few seconds, and all passes are
 * slow until a new map is in force. Streams show slow passes at no cost. A pass
 * that lasts longer than its forecast raises an alarm: the sample is read twice,
 * a few passes apart, and the difference holds the new demand alone. Readings
 * hold the group up, so that those without an alarm take a small part of its time.
 */

import {unreachable} from '../core/errors';
import type {DemandChange} from './expertDemand';

/** Between readings without an alarm, for shifts that hardly change the pace. */
const MIN_READ_PERIOD_MS = 700;
/** Part of the time for which those readings may hold the group up. */
const MAX_HOLD_RATIO = 0.02;
/** Passes that are longer than usual by this part raise an alarm. */
const SLOWDOWN_RATIO = 0.25;
/** Least time between two alarms that the pace raises, milliseconds. */
const ALARM_PERIOD_MS = 700;
/**
 * Window of the two readings: at least one whole pass lies within it. A pass that
 * was held for a switch tells nothing of the next one.
 */
const MIN_WINDOW_MS = 100;
const MAX_WINDOW_MS = 300;
const WINDOW_PASSES = 1.2;
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

/** Passes of the group, milliseconds. */
export interface Pace {
  /** As streams show them; 0 while none runs. */
  readonly passMs: number;
  /** As foreseen for the requests that run, under the map in force. */
  readonly forecastMs: number;
}

/** A reading that is due. */
export interface DueReading {
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
  | {
      readonly kind: 'alarmed';
      readonly dueAtMs: number;
      /** Readings with too few choices before it. */
      readonly empty: number;
    }
  | {
      readonly kind: 'measuring';
      readonly dueAtMs: number;
      readonly empty: number;
    };

/** Decides on readings; time is given with each call. */
export class ShiftDetector {
  private state: WatchState = {kind: 'alarmed', dueAtMs: -Infinity, empty: 0};
  private isReading = false;
  private usualPace = 0;
  private alarmAtMs = -Infinity;
  private lookedAtMs = 0;
  private readonly periodMs: number;
  private windowMs = MIN_WINDOW_MS;

  /** `holdMs` is the time for which one reading holds the group up. */
  constructor(holdMs: number) {
    this.periodMs = Math.max(MIN_READ_PERIOD_MS, holdMs / MAX_HOLD_RATIO);
  }

  /** The reading that is due now; to be followed by `took`. */
  next({passMs, forecastMs}: Pace, nowMs: number): DueReading | undefined {
    const windowMs = Math.max(MIN_WINDOW_MS, passMs * WINDOW_PASSES);
    this.windowMs = Math.min(MAX_WINDOW_MS, windowMs);
    this.watchPace(passMs / forecastMs, nowMs);
    // Without streams nothing was chosen since the last reading.
    if (this.isReading || passMs === 0) return undefined;
    const reading = this.dueAt(nowMs);
    this.isReading = reading !== undefined;
    return reading;
  }

  /** Takes in what the reading showed. */
  took(reading: DueReading, change: DemandChange, nowMs: number): void {
    this.isReading = false;
    if (reading.isBegin) {
      const {state} = this;
      const empty = state.kind === 'alarmed' ? state.empty : 0;
      const waitMs = Math.max(this.windowMs, this.rereadMs(empty - 1));
      this.state = measureIn(waitMs, nowMs, empty);
      return;
    }
    switch (change) {
      case 'shifting':
        // This reading began the next window.
        this.state = measureIn(this.windowMs, nowMs, 0);
        return;
      case 'shifted':
      case 'same':
        this.state = watchIn(this.periodMs, nowMs);
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
    return this.state.kind === 'alarmed' && this.state.empty > 0;
  }

  private tookNothing(nowMs: number): void {
    const {state} = this;
    if (state.kind !== 'measuring') {
      this.state = watchIn(this.periodMs, nowMs);
      return;
    }
    const empty = state.empty + 1;
    const dueAtMs = nowMs + this.rereadMs(state.empty);
    // The windows of other ranks have to begin first.
    const kind = empty % EMPTY_READINGS === 0 ? 'alarmed' : 'measuring';
    this.state = {kind, dueAtMs, empty};
  }

  private dueAt(nowMs: number): DueReading | undefined {
    const {state} = this;
    switch (state.kind) {
      case 'watching':
        if (nowMs < state.dueAtMs) return undefined;
        return {isBegin: false, isRecent: false};
      case 'alarmed':
        if (nowMs < state.dueAtMs) return undefined;
        return {isBegin: true, isRecent: true};
      case 'measuring':
        if (nowMs < state.dueAtMs) return undefined;
        return {isBegin: false, isRecent: true};
      default:
        return unreachable(state);
    }
  }

  private watchPace(pace: number, nowMs: number): void {
    const elapsedMs = nowMs - this.lookedAtMs;
    this.lookedAtMs = nowMs;
    if (pace === 0) return;
    if (this.usualPace === 0) {
      this.usualPace = pace;
      return;
    }
    const isSlower = pace > this.usualPace * (1 + SLOWDOWN_RATIO);
    const isFresh = nowMs - this.alarmAtMs >= ALARM_PERIOD_MS;
    if (isSlower && isFresh && this.state.kind === 'watching') {
      this.alarmAtMs = nowMs;
      this.state = {kind: 'alarmed', dueAtMs: -Infinity, empty: 0};
    }
    const overMs = isSlower ? RISE_MS : FALL_MS;
    const part = 1 - Math.exp(-elapsedMs / overMs);
    this.usualPace += (pace - this.usualPace) * part;
  }

  /** Longer each time: with hardly a request left, nothing is to be learned. */
  private rereadMs(empty: number): number {
    return Math.min(this.periodMs, REREAD_MS * 2 ** empty);
  }
}

function measureIn(ms: number, nowMs: number, empty: number): WatchState {
  return {kind: 'measuring', dueAtMs: nowMs + ms, empty};
}

function watchIn(ms: number, nowMs: number): WatchState {
  return {kind: 'watching', dueAtMs: nowMs + ms};
}
