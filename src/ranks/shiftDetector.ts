/**
 * Decides when to read the counts of a sample of ranks.
 *
 * Pattern: demand shifts to other experts every few seconds, and all passes are
 * slow until a new map is active. Streams show slow passes at no cost. A pass
 * that lasts longer than its forecast raises an alarm: the sample is read
 * twice, a few passes apart, and the difference contains only the new demand.
 * Readings hold up the group, so those without an alarm may take only a small
 * part of its time.
 */

import {unreachable} from '../core/errors';
import type {DemandChange} from './expertDemand';

/**
 * Least interval of readings without an alarm, which detect shifts that hardly
 * change the pass duration.
 */
const MIN_READ_INTERVAL_MS = 700;
/** Part of the time that readings without an alarm may hold up the group. */
const MAX_HOLD_RATIO = 0.02;
/** Passes that are slower than the baseline by this ratio raise an alarm. */
const SLOWDOWN_RATIO = 0.25;
/** Least time between two alarms due to slow passes. */
const MIN_ALARM_INTERVAL_MS = 700;
/**
 * Window between the two readings: long enough to contain a whole pass. The
 * upper bound applies because a pass that was held for a switch does not
 * predict the duration of the next one.
 */
const MIN_WINDOW_MS = 100;
const MAX_WINDOW_MS = 300;
const WINDOW_PASSES = 1.2;
/** First delay of another reading after one with too few choices. */
const REREAD_DELAY_MS = 60;
/**
 * Readings with too few choices after which the sample moves to other ranks.
 */
const MAX_EMPTY_READINGS = 3;
/**
 * Time constants of the baseline. It falls fast, to reflect a better map at
 * once. It rises slowly, so that slow passes do not become the baseline before
 * a new map resolves them.
 */
const BASELINE_FALL_MS = 150;
const BASELINE_RISE_MS = 5_000;

/** Pass durations of the group, milliseconds. */
export interface PassDurations {
  /** As observed in streams; 0 while no stream runs. */
  readonly passMs: number;
  /** As predicted for the running requests, under the map in use. */
  readonly forecastMs: number;
}

/** A reading that is due. */
export interface DueReading {
  /** Whether it only begins the window that the next reading ends. */
  readonly isBegin: boolean;
  /** Whether its window began after a shift was suspected. */
  readonly isRecent: boolean;
}

type DetectorState =
  | {
      readonly kind: 'watching';
      readonly dueAtMs: number;
    }
  | {
      readonly kind: 'alarmed';
      readonly dueAtMs: number;
      /** Consecutive readings with too few choices so far. */
      readonly empty: number;
    }
  | {
      readonly kind: 'measuring';
      readonly dueAtMs: number;
      readonly empty: number;
    };

/** Schedules readings; the current time is passed with each call. */
export class ShiftDetector {
  private state: DetectorState = {
    kind: 'alarmed',
    dueAtMs: -Infinity,
    empty: 0,
  };
  private isReading = false;
  /** Usual ratio of the observed pass duration to its forecast. */
  private baselineRatio = 0;
  private alarmAtMs = -Infinity;
  private baselineAtMs = 0;
  private readonly readIntervalMs: number;
  private windowMs = MIN_WINDOW_MS;

  /** `holdMs` is the time for which one reading holds up the group. */
  constructor(holdMs: number) {
    this.readIntervalMs = Math.max(
      MIN_READ_INTERVAL_MS,
      holdMs / MAX_HOLD_RATIO
    );
  }

  /** Returns the reading that is due now; its result goes to `noteReading`. */
  nextReading(
    {passMs, forecastMs}: PassDurations,
    nowMs: number
  ): DueReading | undefined {
    const windowMs = Math.max(MIN_WINDOW_MS, passMs * WINDOW_PASSES);
    this.windowMs = Math.min(MAX_WINDOW_MS, windowMs);
    this.updateBaseline(passMs / forecastMs, nowMs);
    // Without streams no expert was chosen since the last reading.
    if (this.isReading || passMs === 0) return undefined;
    const reading = this.readingDueAt(nowMs);
    this.isReading = reading !== undefined;
    return reading;
  }

  /** Notes the result of a reading. */
  noteReading(reading: DueReading, change: DemandChange, nowMs: number): void {
    this.isReading = false;
    if (reading.isBegin) {
      const {state} = this;
      const empty = state.kind === 'alarmed' ? state.empty : 0;
      const waitMs = Math.max(this.windowMs, this.rereadDelayMs(empty - 1));
      this.state = measureAfter(waitMs, nowMs, empty);
      return;
    }
    switch (change) {
      case 'shifting':
        // This reading began the next window.
        this.state = measureAfter(this.windowMs, nowMs, 0);
        return;
      case 'shifted':
      case 'same':
        this.state = watchAfter(this.readIntervalMs, nowMs);
        return;
      case 'nothing':
        this.noteEmptyReading(nowMs);
        return;
      default:
        unreachable(change);
    }
  }

  /**
   * Whether the sampled ranks have too few requests, and others should be read.
   */
  get isSampleEmpty(): boolean {
    return this.state.kind === 'alarmed' && this.state.empty > 0;
  }

  private noteEmptyReading(nowMs: number): void {
    const {state} = this;
    if (state.kind !== 'measuring') {
      this.state = watchAfter(this.readIntervalMs, nowMs);
      return;
    }
    const empty = state.empty + 1;
    const dueAtMs = nowMs + this.rereadDelayMs(state.empty);
    // For other ranks, a first reading has to begin their windows.
    const kind = empty % MAX_EMPTY_READINGS === 0 ? 'alarmed' : 'measuring';
    this.state = {kind, dueAtMs, empty};
  }

  private readingDueAt(nowMs: number): DueReading | undefined {
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

  private updateBaseline(passRatio: number, nowMs: number): void {
    const elapsedMs = nowMs - this.baselineAtMs;
    this.baselineAtMs = nowMs;
    if (passRatio === 0) return;
    if (this.baselineRatio === 0) {
      this.baselineRatio = passRatio;
      return;
    }
    const isSlower = passRatio > this.baselineRatio * (1 + SLOWDOWN_RATIO);
    const isAlarmAllowed = nowMs - this.alarmAtMs >= MIN_ALARM_INTERVAL_MS;
    if (isSlower && isAlarmAllowed && this.state.kind === 'watching') {
      this.alarmAtMs = nowMs;
      this.state = {kind: 'alarmed', dueAtMs: -Infinity, empty: 0};
    }
    const timeConstantMs = isSlower ? BASELINE_RISE_MS : BASELINE_FALL_MS;
    const weight = 1 - Math.exp(-elapsedMs / timeConstantMs);
    this.baselineRatio += (passRatio - this.baselineRatio) * weight;
  }

  /**
   * Doubles with each reading: with hardly any requests, there is little to
   * read.
   */
  private rereadDelayMs(empty: number): number {
    return Math.min(this.readIntervalMs, REREAD_DELAY_MS * 2 ** empty);
  }
}

function measureAfter(
  delayMs: number,
  nowMs: number,
  empty: number
): DetectorState {
  return {kind: 'measuring', dueAtMs: nowMs + delayMs, empty};
}

function watchAfter(delayMs: number, nowMs: number): DetectorState {
  return {kind: 'watching', dueAtMs: nowMs + delayMs};
}
