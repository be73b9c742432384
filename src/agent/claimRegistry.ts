/**
 * Records the claimed (non-idempotent) calls of one agent boot. A claim names
 * one boot of one agent, so only that boot can run the call, and it can state
 * with certainty that a call has not run and never will.
 */

import type {RecordedAnswer} from '../core/claims';
import type {FenceClaimAnswer} from '../rpc/messages';

/** Claims that one boot records before the agent must renew its boot id. */
const MAX_CLAIMS = 20_000;
/** Responses kept for entries that crashed before they recorded them. */
const MAX_RECORDED_ANSWERS = 500;

type ClaimState =
  | {readonly kind: 'running'}
  | {readonly kind: 'ran'; readonly answer?: RecordedAnswer}
  | {readonly kind: 'fenced'};

/** `run`: the dispatch may run; otherwise the state of its claim. */
export type ClaimVerdict = 'run' | 'fenced' | 'running' | 'ran';

/** The claims of one boot, by customer, key and attempt. */
export class ClaimRegistry {
  private readonly claims = new Map<string, ClaimState>();
  private readonly answered: string[] = [];

  /**
   * Called before the request is sent; only the first call for a claim returns
   * `run`.
   */
  begin(claimId: string): ClaimVerdict {
    const known = this.claims.get(claimId);
    if (known !== undefined) return known.kind;
    this.claims.set(claimId, {kind: 'running'});
    return 'run';
  }

  /** Fences a claim whose request was never sent to the target. */
  markNotSent(claimId: string): void {
    // The entry is told "not run" and needs a new claim for another attempt.
    this.claims.set(claimId, {kind: 'fenced'});
  }

  /**
   * Records that the request was sent, with its response if complete and small
   * enough.
   */
  markSent(claimId: string, answer?: RecordedAnswer): void {
    this.claims.set(claimId, {kind: 'ran', answer});
    if (answer === undefined) return;
    this.answered.push(claimId);
    if (this.answered.length <= MAX_RECORDED_ANSWERS) return;
    const oldest = this.answered.shift();
    if (oldest !== undefined) this.claims.set(oldest, {kind: 'ran'});
  }

  /** Fences a claim that has not started; otherwise returns its state. */
  fence(claimId: string): FenceClaimAnswer {
    const known = this.claims.get(claimId);
    if (known !== undefined) return known;
    this.claims.set(claimId, {kind: 'fenced'});
    return {kind: 'fenced'};
  }

  /**
   * Whether the agent must renew its boot id. Evicting a fenced claim would let
   * a late dispatch of it run; with a new boot id, every dispatch to the old
   * one is refused, so the record can be discarded.
   */
  get isFull(): boolean {
    return this.claims.size >= MAX_CLAIMS;
  }
}

/** Key of a claim in the record. */
export function claimIdOf(
  customer: string,
  key: string,
  attempt: number
): string {
  return JSON.stringify([customer, key, attempt]);
}
