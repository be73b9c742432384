/**
 * Retry-After of requests that the queue of a prioritized service refused, in a
 * momentary shortage: the more of an urgency is refused, the later its callers
 * return. A lasting shortage has no quick retry.
 */

import {DecayingRate} from './decayingRate';
import {
  LASTING_REFUSAL_RATIO,
  QUICK_RETRY_MAX_MS,
  QUICK_RETRY_MIN_MS,
} from './retryTiming';
import type {Urgency, UrgencyKey} from './urgency';
import {urgencyKey} from './urgency';

/** Part of the range by which the earliest retry rises up to a lasting shortage. */
const MAX_RISE_RATIO = 0.5;

interface Counts {
  readonly requests: DecayingRate;
  readonly refused: DecayingRate;
}

/** Chooses Retry-After by the recent ratio of refusals of the same urgency. */
export class QueueRetry {
  private readonly counts = new Map<UrgencyKey, Counts>();

  /** `random` returns 0 up to but excluding 1. */
  constructor(private readonly random: () => number) {}

  /** Counts a request that entered the queue. */
  recordRequest(urgency: Urgency, nowMs: number): void {
    this.countsOf(urgency).requests.record(nowMs);
  }

  /**
   * Counts a refusal and returns its Retry-After, milliseconds; undefined in a
   * lasting shortage, during which a quick retry would be refused again.
   */
  recordRefusal(urgency: Urgency, nowMs: number): number | undefined {
    const {requests, refused} = this.countsOf(urgency);
    refused.record(nowMs);
    const lasting = LASTING_REFUSAL_RATIO * requests.perSecond(nowMs) + 1;
    const severity = refused.perSecond(nowMs) / lasting;
    if (severity > 1) return undefined;
    const range = QUICK_RETRY_MAX_MS - QUICK_RETRY_MIN_MS;
    const earliestMs = QUICK_RETRY_MIN_MS + range * MAX_RISE_RATIO * severity;
    return earliestMs + (QUICK_RETRY_MAX_MS - earliestMs) * this.random();
  }

  private countsOf(urgency: Urgency): Counts {
    const key = urgencyKey(urgency);
    let counts = this.counts.get(key);
    if (counts === undefined) {
      counts = {requests: new DecayingRate(), refused: new DecayingRate()};
      this.counts.set(key, counts);
    }
    return counts;
  }
}
