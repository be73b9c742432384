/**
 * The requests of a gateway from their arrival to their end. In a planned stop only those
 * are taken that can end before it, and the others get an answer then.
 */

import {RequestDurations} from '../policy/requestDurations';
import type {RequestState} from './requestState';

/** Requests in progress, and when the gateway stops. */
export class RequestsInProgress {
  private readonly states = new Set<RequestState>();
  private readonly durations = new RequestDurations();
  private stopAtMs = Infinity;

  /** Begins a planned stop, which ends all requests at this time. */
  beginStop(stopAtMs: number): void {
    this.stopAtMs = stopAtMs;
  }

  add(state: RequestState): void {
    this.states.add(state);
  }

  /** Notes that a request has ended, without its last bytes if its caller is slow. */
  delete(state: RequestState): void {
    this.states.delete(state);
  }

  /** Notes how long a request of the route has lasted, unless it was cancelled. */
  recordDuration(route: string, {stopped, ageMs}: RequestState): void {
    if (stopped === undefined || stopped === 'timedOut')
      this.durations.record(route, ageMs);
  }

  /** Whether a request of the route that arrives now ends before a planned stop. */
  canEndInTime(route: string, {remainingMs}: RequestState): boolean {
    const leftMs = this.stopAtMs - performance.now();
    return Math.min(remainingMs, this.durations.longestMs(route)) <= leftMs;
  }

  /** Cancels all requests, so that each is answered by what is known of it. */
  endAll(): void {
    for (const state of this.states) state.endForStop();
  }
}
