/** Which prompt prefixes the target is believed to hold in its cache. */

import type {CacheEvents} from '../target/targetAdapter';

const MAX_PREFIXES = 512;
/** Prefixes told with each announcement. */
const ANNOUNCED = 32;

/** Follows late and gapped cache events; oldest prefixes are forgotten first. */
export class PrefixMemory {
  private readonly prefixes = new Set<string>();

  apply({events, missed}: CacheEvents): void {
    // Removals may be among what was missed: a wrong "cached" sends work to a
    // target that gains nothing from it, so the memory starts anew.
    if (missed > 0) this.prefixes.clear();
    for (const {kind, prefix} of events) {
      this.prefixes.delete(prefix);
      if (kind === 'stored') this.prefixes.add(prefix);
    }
    for (const prefix of this.prefixes) {
      if (this.prefixes.size <= MAX_PREFIXES) break;
      this.prefixes.delete(prefix);
    }
  }

  newest(): readonly string[] {
    return [...this.prefixes].slice(-ANNOUNCED);
  }
}
