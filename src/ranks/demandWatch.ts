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
  private usualPace = 0;
  private alarmAtMs = -Infinity;
  private lookedAtMs = 0;
  private readonly periodMs: number;

  /** `holdMs` is the time for which one reading holds the group up. */
  constructor(holdMs: number) {
    this.periodMs = Math.max(MIN_READ_PERIOD_MS, holdMs / MAX_HOLD_RATIO);
  }

  /**
   * The reading that is due now; to be followed by `took`. The pace is the length
   * of passes over their forecast; 0 while no stream runs.
   */
  next(pace: number, nowMs: number): DueReading | undefined {
    this.watchPace(pace, nowMs);
    // Without streams nothing was chosen since the last reading.
    if (this.isReading || pace === 0) return undefined;
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
        // This reading began the next window.
        this.state = measureIn(MEASURE_MS, nowMs, 0);
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
    return (
      this.state.kind === 'measuring' && this.state.empty >= EMPTY_READINGS
    );
  }

  private tookNothing(nowMs: number): void {
    const {state} = this;
    this.state =
      state.kind === 'measuring'
        ? measureIn(this.rereadMs(state.empty), nowMs, state.empty + 1)
        : watchIn(this.periodMs, nowMs);
  }

  private dueAt(nowMs: number): DueReading | undefined {
    const {state} = this;
    switch (state.kind) {
      case 'watching':
        if (nowMs < state.dueAtMs) return undefined;
        return {isBegin: false, isRecent: false};
      case 'alarmed':
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
      this.state = {kind: 'alarmed'};
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
