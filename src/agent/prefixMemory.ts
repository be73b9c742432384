/** Estimates which prompt prefixes are in the target's cache. */

import type {CacheEvents} from '../target/targetAdapter';

const MAX_PREFIXES = 512;
const MAX_ANNOUNCED_PREFIXES = 32;

/**
 * Follows cache events, which can be late or lost; evicts the oldest prefixes
 * first.
 */
export class PrefixMemory {
  private readonly prefixes = new Set<string>();

  apply({events, missed}: CacheEvents): void {
    // Lost events may include removals. A prefix wrongly believed to be cached
    // attracts requests without any gain, so the estimate starts from empty.
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
    return [...this.prefixes].slice(-MAX_ANNOUNCED_PREFIXES);
  }
}
