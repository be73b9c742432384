/** Counts output tokens delivered to a customer, for billing. */

import type {ClassifiedCall} from './call';
import type {EntryCore} from './entryCore';

/** Adds to the metric and to the usage reported to control. */
export function countTokens(
  core: EntryCore,
  {customer}: ClassifiedCall,
  tokens: number
): void {
  core.metrics.count('usage.tokens', {customer}, tokens);
  core.usage.add(customer, {tokens});
}
