/** Priority with which an engine prefills the prompt of a request. */

/** Properties of a request that determine its priority at the engine. */
export interface PromptPriorityInput {
  /** Whether the customer has used less than its share. */
  readonly inCredit: boolean;
  /** Whether the request resumes a stream that another target lost. */
  readonly resumed: boolean;
}

/**
 * Returns the priority; higher goes first. After the loss of a zone a third of all
 * streams resume at once with long prompts. In order of arrival, every new request
 * would wait behind them for its first token. New prompts take only a tenth of an
 * engine's time, so they hardly delay the resumed streams.
 */
export function enginePriority({
  inCredit,
  resumed,
}: PromptPriorityInput): number {
  if (resumed) return 0;
  return inCredit ? 2 : 1;
}
