/** Routes of the gateway fixture. */

import type {RetrySemantics, SiteRoute} from '../../src/site/site';

/** A route to the service `s`, by whether its requests may be repeated. */
export function route(
  repeat: RetrySemantics,
  overrides: Partial<SiteRoute>
): SiteRoute {
  return {
    name: repeat,
    host: 'a.example',
    pathPrefix: `/${repeat}/`,
    repeat,
    resumable: true,
    timeoutMs: 2_000,
    latencyTargetMs: 400,
    gapTargetMs: 0,
    priority: 1,
    split: [{service: 's', weight: 1}],
    maxAttempts: 2,
    isPublic: false,
    ...overrides,
  };
}
