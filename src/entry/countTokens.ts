/** Counts tokens that a customer got, for charging. */

import type {ClassifiedCall} from './call';
import type {EntryCore} from './entryCore';

/** Adds to the counters and to the use reported to control. */
export function countTokens(
  core: EntryCore,
  {customer}: ClassifiedCall,
  tokens: number
): void {
  core.metrics.count('usage.tokens', {customer}, tokens);
  core.usage.add(customer, {tokens});
}
