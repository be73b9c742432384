/** Latency goals of streams, by service. */

import type {Site} from './site';

/** Strictest goals among the routes to a service, milliseconds; 0 for none. */
export interface StreamGoals {
  /** Longest pause between two events. */
  readonly pauseMs: number;
  /** Time to the first event. */
  readonly firstEventMs: number;
}

/** Goals of a service without streams. */
export const NO_GOALS: StreamGoals = {pauseMs: 0, firstEventMs: 0};

/** Goals of all services that have stream routes. */
export function streamGoals(site: Site): ReadonlyMap<string, StreamGoals> {
  const goals = new Map<string, StreamGoals>();
  for (const {repeat, gapTargetMs, latencyTargetMs, split} of site.routes) {
    if (repeat !== 'stream') continue;
    for (const {service} of split) {
      const known = goals.get(service) ?? NO_GOALS;
      goals.set(service, {
        pauseMs: stricter(known.pauseMs, gapTargetMs),
        firstEventMs: stricter(known.firstEventMs, latencyTargetMs),
      });
    }
  }
  return goals;
}

function stricter(a: number, b: number): number {
  if (a === 0) return b;
  return b === 0 ? a : Math.min(a, b);
}
