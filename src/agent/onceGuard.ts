/**
 * What this boot of the agent knows of claimed calls. A claim names one boot
 * of one agent, so only that boot can let the call run, and it can say for
 * sure that a call has not run and never will.
 */

import type {RecordedAnswer} from '../core/claims';
import type {FenceClaimAnswer} from '../rpc/messages';

/** Claims remembered by one boot before it must become a new boot. */
const MAX_CLAIMS = 20_000;
/** Answers kept for entries that died before they could record them. */
const MAX_ANSWERS = 500;

type ClaimState =
  | {readonly kind: 'running'}
  | {readonly kind: 'ran'; readonly answer?: RecordedAnswer}
  | {readonly kind: 'fenced'};

/** Whether a dispatch under a claim may run. */
export type ClaimVerdict = 'run' | 'fenced' | 'running' | 'ran';

/** Claims by customer, key and attempt. */
export class OnceGuard {
  private readonly claims = new Map<string, ClaimState>();
  private readonly answered: string[] = [];

  /** Called before the request goes to the target; at most one gets `run`. */
  begin(claimId: string): ClaimVerdict {
    const known = this.claims.get(claimId);
    if (known !== undefined) return known.kind;
    this.claims.set(claimId, {kind: 'running'});
    return 'run';
  }

  /** The target was never sent the request. */
  release(claimId: string): void {
    // Stays barred: the entry is told "not run" and must claim again.
    this.claims.set(claimId, {kind: 'fenced'});
  }

  /** The target was sent the request; its answer, where whole and small. */
  finish(claimId: string, answer?: RecordedAnswer): void {
    this.claims.set(claimId, {kind: 'ran', answer});
    if (answer === undefined) return;
    this.answered.push(claimId);
    if (this.answered.length <= MAX_ANSWERS) return;
    const oldest = this.answered.shift();
    if (oldest !== undefined) this.claims.set(oldest, {kind: 'ran'});
  }

  /** Bars a claim that has not run; tells what became of one that has. */
  fence(claimId: string): FenceClaimAnswer {
    const known = this.claims.get(claimId);
    if (known !== undefined) return known;
    this.claims.set(claimId, {kind: 'fenced'});
    return {kind: 'fenced'};
  }

  /**
   * Whether the record is full. Forgetting a barred claim would let a late
   * dispatch of it run; the agent takes a new boot id instead, by which every
   * dispatch to the old one is refused.
   */
  get full(): boolean {
    return this.claims.size >= MAX_CLAIMS;
  }
}

/** One string for a claim. */
export function claimIdOf(
  customer: string,
  key: string,
  attempt: number
): string {
  return JSON.stringify([customer, key, attempt]);
}
