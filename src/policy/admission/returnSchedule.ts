/**
 * Retry-After of requests that were refused by an admission ratio.
 *
 * Callers of one urgency return one after the other, at the rate at which capacity
 * becomes free for them at this node. Callers that were told a random time would
 * return in a wave and be refused again.
 */

import type {Urgency, UrgencyKey} from './urgency';
import {urgencyKey} from './urgency';

/** An overload lasts at least this long. */
const EARLIEST_RETURN_MS = 700;
/** Callers obey Retry-After up to a third of their remaining time. */
const MAX_WAIT_RATIO = 1 / 3;
/** Callers with the usual time limit wait no longer. */
const LATEST_RETURN_MS = 2_600;
/** Part of the span from which times are chosen once all of it is taken. */
const OVERFLOW_RATIO = 1 / 3;
const MS_PER_S = 1_000;

/** Return times of one service at one node, by urgency. */
export class ReturnSchedule {
  private readonly lastAtMs = new Map<UrgencyKey, number>();

  /** `random` returns 0 up to but excluding 1. */
  constructor(private readonly random: () => number) {}

  /** Returns the time until the caller is to return, milliseconds. */
  assign(
    urgency: Urgency,
    admittedPerSecond: number,
    remainingMs: number,
    nowMs: number
  ): number {
    const key = urgencyKey(urgency);
    const latestMs = latestReturnMs(remainingMs);
    const earliestMs = Math.min(EARLIEST_RETURN_MS, latestMs);
    if (!(admittedPerSecond > 0)) return this.overflowMs(earliestMs, latestMs);
    const lastAtMs = this.lastAtMs.get(key) ?? -Infinity;
    const nextAtMs = lastAtMs + MS_PER_S / admittedPerSecond;
    const waitMs = Math.max(earliestMs, nextAtMs - nowMs);
    if (waitMs > latestMs) return this.overflowMs(earliestMs, latestMs);
    this.lastAtMs.set(key, nowMs + waitMs);
    return waitMs;
  }

  private overflowMs(earliestMs: number, latestMs: number): number {
    const span = (latestMs - earliestMs) * OVERFLOW_RATIO;
    return latestMs - span * this.random();
  }
}

/** Longest wait that a caller with this time left obeys, milliseconds. */
export function latestReturnMs(remainingMs: number): number {
  if (Number.isNaN(remainingMs)) return LATEST_RETURN_MS;
  const obeyedMs = Math.max(0, remainingMs) * MAX_WAIT_RATIO;
  return Math.min(LATEST_RETURN_MS, obeyedMs);
}
