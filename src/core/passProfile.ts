/** What an engine's profile tells of the length of its passes. */

/** Cost model of one engine. */
export interface PassProfile {
  /** Token steps in one pass of a group. */
  readonly stepsPerPass: number;
  /** Fixed time of a token step, milliseconds. */
  readonly stepMs: number;
  /** Further time of a step for each running request, milliseconds. */
  readonly stepMsPerRequest: number;
  /** Time in which a rank reads a usual prompt, milliseconds. */
  readonly usualReadMs: number;
  /** Tokens of a usual answer. */
  readonly usualAnswerTokens: number;
  /** Part of the work for tokens that goes to experts, 0 to 1. */
  readonly expertShare: number;
}
