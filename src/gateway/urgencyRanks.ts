/** Ranks of the urgencies that requests for one service can have. */

import type {Urgency, UrgencyKey} from '../policy/admission/urgency';
import {
  compareUrgency,
  urgencyKey,
  urgencyOf,
} from '../policy/admission/urgency';
import type {Site} from '../site/site';

/** Targets order requests by one digit. */
const MAX_RANK = 9;

/** Rank by urgency, 0 for the most urgent and 9 at most. */
export function urgencyRanks(
  site: Site,
  service: string
): ReadonlyMap<UrgencyKey, number> {
  const urgencies = new Map<UrgencyKey, Urgency>();
  const customerPriorities = new Set(site.customers.map(one => one.priority));
  customerPriorities.add(undefined);
  for (const {priority, split} of site.routes) {
    if (!split.some(part => part.service === service)) continue;
    for (const customerPriority of customerPriorities) {
      const urgency = urgencyOf(priority, customerPriority);
      urgencies.set(urgencyKey(urgency), urgency);
    }
  }
  const sorted = [...urgencies.values()].sort(compareUrgency);
  return new Map(
    sorted.map((one, i) => [urgencyKey(one), Math.min(MAX_RANK, i)])
  );
}
