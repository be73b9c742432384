/** The parts of an engine's profile that determine its pass duration. */

/** Cost model of one engine. */
export interface PassProfile {
  /** Steps in one pass of a group; each step gives every stream one token. */
  readonly stepsPerPass: number;
  /** Fixed part of the duration of a step, milliseconds. */
  readonly stepMs: number;
  /** What each running request adds to a step, milliseconds. */
  readonly stepMsPerRequest: number;
  /** Prefill time of a typical prompt on one rank, milliseconds. */
  readonly usualReadMs: number;
  /** Tokens of a typical response. */
  readonly usualAnswerTokens: number;
  /** Fraction of the work per token that is done by experts, 0 to 1. */
  readonly expertShare: number;
}
