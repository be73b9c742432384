/** What targets state about themselves in the headers of their responses. */

/** The statements in one response. */
export interface TargetNotice {
  /**
   * Requests per second that the target accepts from all nodes together; absent
   * when the response states no limit, `invalid` when it cannot be read.
   */
  readonly rateLimit?: number | 'invalid';
  /**
   * Time for which the target wants nothing from this node, milliseconds; absent
   * unless it turned the request away and asked for that.
   */
  readonly restMs?: number;
  /** Whether the target is about to stop; it takes no new requests then. */
  readonly isLeaving: boolean;
  /** Names of headers whose values are invalid; these values are ignored. */
  readonly invalidHeaders: readonly string[];
}
