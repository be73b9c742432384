/**
 * Cost of a request in the passes of one group, as measured.
 *
 * A pass that has ended began with the requests of a moment ago. Divided by the
 * requests of now, its duration shows too low a cost while load rises, and too high
 * a cost while it falls.
 */

import {SmoothedMedian} from './smoothedMedian';

/** Time from the begin of a measured pass to its report, in passes. */
const MEASURE_DELAY_PASSES = 1.5;
/** Longer passes are divided by the requests of this long ago. */
const LOAD_HISTORY_MS = 2_000;
/** A cost is confirmed once it has been measured for this long. */
const CONFIRM_MS = 150;
/** Costs up to this age confirm; longer than the former by a late step. */
const LATEST_MS = 2 * CONFIRM_MS;

/** One measurement. */
export interface PassMeasurement {
  readonly passMs: number;
  /** Part of the pass that does not depend on the load. */
  readonly fixedMs: number;
  /** Cost of a request by the profile. */
  readonly expectedMs: number;
  /** Longest pass that is in time. */
  readonly limitMs: number;
  /**
   * With fewer requests than this, no cost is known: on ranks that are loaded
   * unevenly, passes last as long as those of the rank with the most requests.
   */
  readonly minRequests: number;
}

interface TimedValue {
  readonly atMs: number;
  readonly value: number;
}

/** Measured costs of one group, milliseconds for each request. */
export class MeasuredCost {
  private readonly ratios = new SmoothedMedian(1);
  private readonly costs = new SmoothedMedian();
  private loads: readonly TimedValue[] = [];
  private latest: readonly TimedValue[] = [];

  /** Records a measured pass and the requests that run now. */
  record(measured: PassMeasurement, running: number, nowMs: number): void {
    const {passMs, fixedMs, expectedMs, limitMs, minRequests} = measured;
    this.loads = [
      ...since(this.loads, nowMs - LOAD_HISTORY_MS),
      {atMs: nowMs, value: running},
    ];
    const load = this.loadAt(nowMs - passMs * MEASURE_DELAY_PASSES);
    const varyingMs = Math.max(0, passMs - fixedMs);
    // A pass in time is no reason for a lower limit at once.
    const lateCost =
      passMs > limitMs ? varyingMs / Math.max(load, running, 1) : 0;
    this.latest = [
      ...since(this.latest, nowMs - LATEST_MS),
      {atMs: nowMs, value: lateCost},
    ];
    if (load === 0 || varyingMs === 0) return;
    const cost = varyingMs / load;
    const known = this.costs.value ?? 0;
    // Few requests show too high a cost, so a lower one than known is news. Without
    // it a group that was slow would stay nearly closed: with few requests, no
    // measurement would count, and the limit would admit only few.
    if (load < minRequests && cost >= known) return;
    this.costs.record(cost, nowMs);
    if (expectedMs > 0) this.ratios.record(cost / expectedMs, nowMs);
  }

  /** Measured over expected cost, as known last; 1 before it is known. */
  get ratio(): number {
    return this.ratios.value ?? 1;
  }

  /** Whether the cost over a few seconds is known. */
  isKnown(nowMs: number): boolean {
    return this.costs.isCurrent(nowMs);
  }

  /**
   * Cost over a few seconds. While it is not measured, the lower one of that known
   * last and the expected one: the latter is high for the moment of a switch, and the
   * former for as long as a group that was slow gets only probe requests.
   */
  sustainedMs(expectedMs: number, nowMs: number): number {
    const known = this.costs.value;
    if (known === undefined) return expectedMs;
    return this.isKnown(nowMs) ? known : Math.min(known, expectedMs);
  }

  /** Least cost of the last moment, if all its passes were late; otherwise 0. */
  lateMs(nowMs: number): number {
    const latest = since(this.latest, nowMs - LATEST_MS);
    const firstMs = latest[0]?.atMs ?? nowMs;
    const lastMs = latest[latest.length - 1]?.atMs ?? nowMs;
    if (lastMs - firstMs < CONFIRM_MS) return 0;
    return Math.min(...latest.map(({value}) => value));
  }

  private loadAt(atMs: number): number {
    const earlier = this.loads.filter(load => load.atMs <= atMs);
    return (earlier[earlier.length - 1] ?? this.loads[0])?.value ?? 0;
  }
}

function since(
  values: readonly TimedValue[],
  oldestMs: number
): readonly TimedValue[] {
  return values.filter(({atMs}) => atMs >= oldestMs);
}
