/** Services whose routes differ in priority, so that some requests go first. */

import type {Site} from './site';

/** Names of the services with routes of different priorities. */
export function prioritizedServices(site: Site): ReadonlySet<string> {
  const priorities = new Map<string, number>();
  const prioritized = new Set<string>();
  for (const {priority, split} of site.routes)
    for (const {service} of split) {
      const first = priorities.get(service) ?? priority;
      priorities.set(service, first);
      if (first !== priority) prioritized.add(service);
    }
  return prioritized;
}
