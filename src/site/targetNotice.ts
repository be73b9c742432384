/** What targets state about themselves in the headers of their responses. */

/** The statements in one response. */
export interface TargetNotice {
  /**
   * Requests per second that the target accepts from all nodes together; absent
   * when the response states no limit.
   */
  readonly rateLimit?: number;
  /** Names of headers whose values are invalid; these values are ignored. */
  readonly invalidHeaders: readonly string[];
}
