/** The order in which an engine is asked to take in prompts. */

/** What decides about one request that is about to be sent to an engine. */
export interface PromptOrder {
  /** Whether its customer has used less than its share. */
  readonly inCredit: boolean;
  /** Whether a lost stream goes on with it. */
  readonly resumed: boolean;
}

/**
 * Higher goes first. After the loss of a zone a third of all streams resume
 * at once with long prompts; in order of arrival every new request would wait
 * behind them for its first token. New prompts take a tenth of an engine's
 * time, so that the resumed streams hardly notice that they come second.
 */
export function enginePriority({inCredit, resumed}: PromptOrder): number {
  if (resumed) return 0;
  return inCredit ? 2 : 1;
}
