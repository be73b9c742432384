/**
 * The rate limit that a target states, from responses whose order is not known.
 *
 * Responses overtake each other, and reports of them reach the leader late. A
 * limit that was believed withdrawn too early would let all nodes through at once.
 * So a lower limit holds at once, and a higher one, or none, only if it was
 * certainly stated later than the last evidence of the lower one.
 */

/** What one response states, and when the target generated it. */
export interface LimitEvidence {
  /** Requests per second; Infinity when the response states no limit. */
  readonly perSecond: number;
  /** Earliest time of the statement: the request was sent then. */
  readonly notBeforeMs: number;
  /** Latest time of the statement: the response had arrived by then. */
  readonly notAfterMs: number;
}

const NO_EVIDENCE: LimitEvidence = {
  perSecond: Infinity,
  notBeforeMs: -Infinity,
  notAfterMs: -Infinity,
};

/** The limit of one boot of a target. */
export class StatedLimit {
  private latest: LimitEvidence = NO_EVIDENCE;

  /** Requests per second; Infinity without a limit. */
  get perSecond(): number {
    return this.latest.perSecond;
  }

  /** The evidence that the limit rests on. */
  get evidence(): LimitEvidence {
    return this.latest;
  }

  /** Adds evidence; returns whether the limit changed. */
  add(evidence: LimitEvidence): boolean {
    const {latest} = this;
    if (evidence.perSecond === latest.perSecond) {
      this.latest = {
        perSecond: latest.perSecond,
        notBeforeMs: Math.max(latest.notBeforeMs, evidence.notBeforeMs),
        notAfterMs: Math.max(latest.notAfterMs, evidence.notAfterMs),
      };
      return false;
    }
    const isRaised = evidence.perSecond > latest.perSecond;
    if (isRaised && evidence.notBeforeMs <= latest.notAfterMs) return false;
    if (!isRaised && evidence.notAfterMs < latest.notBeforeMs) return false;
    this.latest = evidence;
    return true;
  }
}
