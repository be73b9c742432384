/**
 * Decides each step of a call that is not idempotent. It does no I/O: the
 * driver in serveOnce.ts carries out its actions and reports the results, and
 * the fuzz model runs the same decisions under injected faults.
 */

import type {
  ClaimResult,
  LookupResult,
  RecordedAnswer,
  Settlement,
} from '../core/claims';
import {unreachable} from '../core/errors';
import {REFUSALS, Refusal} from '../core/refusal';
import type {FenceClaimAnswer} from '../rpc/messages';

/** A claim that has been pending for less time is assumed to be in progress. */
export const FENCE_PENDING_AFTER_MS = 3_000;
const CLAIM_RETRY_INTERVAL_MS = 200;
const RETRY_AFTER_MS = 1_000;

/**
 * The target of a claim, and the boot of its agent that the claim is bound to.
 */
export interface OnceTarget {
  readonly targetId: string;
  readonly agentBootId: string;
}

/** What the driver does next. */
export type OnceAction =
  | {readonly kind: 'route'; readonly tried: ReadonlySet<string>}
  | {readonly kind: 'claim'; readonly target: OnceTarget}
  /** Reads the record of the key without claiming it. */
  | {readonly kind: 'lookup'}
  | {
      readonly kind: 'dispatch';
      readonly target: OnceTarget;
      readonly attempt: number;
    }
  /**
   * Fences a claim: its agent reports whether it ran, or bars it from running.
   */
  | {
      readonly kind: 'fence';
      readonly target: OnceTarget;
      readonly attempt: number;
    }
  | {
      readonly kind: 'settle';
      readonly attempt: number;
      readonly settlement: Settlement;
    }
  | {readonly kind: 'wait'; readonly ms: number}
  /**
   * Ends the call. With `settleAttempt`, the response is still to be recorded.
   */
  | {
      readonly kind: 'answer';
      readonly answer: RecordedAnswer;
      readonly settleAttempt?: number;
    }
  | {readonly kind: 'refuse'; readonly refusal: Refusal};

/** What an agent reports of a claim, or why it could not be asked. */
export type FenceResult =
  | FenceClaimAnswer
  /** It could not be reached, or did not respond in time. */
  | {readonly kind: 'no answer'}
  /** A majority of control responded, and none of it knows the target. */
  | {readonly kind: 'gone'};

/** The result of the last action. */
export type OnceEvent =
  | {readonly kind: 'routed'; readonly target: OnceTarget}
  | {readonly kind: 'no target'; readonly detail: string}
  | {
      readonly kind: 'claimed';
      readonly result: ClaimResult;
      readonly nowMs: number;
    }
  | {
      readonly kind: 'claim failed';
      readonly peer: string;
      readonly detail: string;
    }
  | {
      readonly kind: 'looked up';
      readonly result: LookupResult;
      readonly nowMs: number;
    }
  | {readonly kind: 'answered'; readonly answer: RecordedAnswer}
  | {readonly kind: 'refused'; readonly refusal: Refusal}
  | {readonly kind: 'fence result'; readonly result: FenceResult}
  /** Also if control did not record it; a resend of the key then settles it. */
  | {readonly kind: 'settled'}
  | {readonly kind: 'waited'}
  | {readonly kind: 'deadline'};

interface BoundClaim {
  readonly target: OnceTarget;
  readonly attempt: number;
}

/** One call under one key at one entry. */
export class OnceMachine {
  private readonly tried = new Set<string>();
  private pendingSinceMs: number | undefined;
  /** The claim that is being dispatched or fenced. */
  private current: BoundClaim | undefined;
  private target: OnceTarget | undefined;
  private lastRefusal: Refusal | undefined;
  private noTarget = '';
  private afterSettle: OnceAction | undefined;

  constructor(
    private readonly entryId: string,
    private readonly maxAttempts: number,
    /**
     * Wait before a pending claim of another request is fenced, milliseconds.
     */
    private readonly fenceAfterMs = FENCE_PENDING_AFTER_MS
  ) {}

  start(): OnceAction {
    return this.route();
  }

  next(event: OnceEvent): OnceAction {
    switch (event.kind) {
      case 'routed':
        this.target = event.target;
        return {kind: 'claim', target: event.target};
      // Even without a target now, an earlier request with the key may have
      // run. Told "not run", its caller would have the work done a second time.
      case 'no target':
        this.noTarget = event.detail;
        return {kind: 'lookup'};
      case 'looked up':
        return this.lookedUp(event.result, event.nowMs);
      case 'claimed':
        return this.claimed(event.result, event.nowMs);
      case 'claim failed':
        // Nothing was dispatched, whether or not the claim was recorded.
        return this.refuse({
          ...this.ownRefusal('control-unavailable', 'claim', event.detail),
          peer: event.peer,
        });
      case 'answered':
        return {
          kind: 'answer',
          answer: event.answer,
          settleAttempt: this.current?.attempt,
        };
      case 'refused':
        return this.refused(event.refusal);
      case 'fence result':
        return this.fenceResult(event.result);
      case 'settled':
        return this.afterSettle ?? this.route();
      case 'waited':
        return this.route();
      case 'deadline':
        return this.refuse(
          this.lastRefusal ??
            this.ownRefusal(
              'deadline-passed',
              'claim',
              'the deadline has passed'
            )
        );
      default:
        return unreachable(event);
    }
  }

  private lookedUp(result: LookupResult, nowMs: number): OnceAction {
    if (result.kind !== 'none') return this.claimed(result, nowMs);
    const none = this.ownRefusal('no-target', 'route', this.noTarget);
    return this.refuse(this.lastRefusal ?? none);
  }

  private claimed(result: ClaimResult, nowMs: number): OnceAction {
    switch (result.kind) {
      case 'granted':
        return this.granted(result.attempt);
      case 'recorded':
        return {kind: 'answer', answer: result.answer};
      case 'pending':
        return this.pending(result, nowMs);
      case 'unknown':
        return this.refuse(
          this.ownRefusal(
            'outcome-unknown',
            'claim',
            'an earlier attempt may have run'
          )
        );
      case 'mismatch':
        return this.refuse(
          this.ownRefusal(
            'key-conflict',
            'claim',
            'the key belongs to another request'
          )
        );
      case 'expired':
        return this.refuse(
          this.ownRefusal(
            'key-expired',
            'claim',
            'the key is no longer on record'
          )
        );
      case 'full':
        return this.refuse(
          this.ownRefusal('key-record-full', 'claim', 'too many keys on record')
        );
      default:
        return unreachable(result);
    }
  }

  private granted(attempt: number): OnceAction {
    const {target} = this;
    if (target === undefined)
      throw new Error('a claim was granted before a target was chosen');
    this.tried.add(target.targetId);
    this.pendingSinceMs = undefined;
    this.lastRefusal = undefined;
    this.current = {target, attempt};
    return {kind: 'dispatch', target, attempt};
  }

  /** Another request holds the key: waits for it, then fences its claim. */
  private pending(
    claim: Extract<ClaimResult, {kind: 'pending'}>,
    nowMs: number
  ): OnceAction {
    this.pendingSinceMs ??= nowMs;
    // However the wait ends, the caller must not get "not run": another request
    // with the key may be running.
    this.lastRefusal = this.ownRefusal(
      'in-progress',
      'settle',
      `attempt ${claim.attempt} at ${claim.targetId} is not settled`
    );
    if (nowMs - this.pendingSinceMs < this.fenceAfterMs)
      return {kind: 'wait', ms: CLAIM_RETRY_INTERVAL_MS};
    const {targetId, agentBootId, attempt} = claim;
    return this.fence({target: {targetId, agentBootId}, attempt});
  }

  /**
   * A refusal with the outcome "not run" proves that this attempt did not run.
   * Any other proves nothing: a request that timed out here may still arrive at
   * the agent. The claim is then fenced, which bars it for good if it has not
   * run.
   */
  private refused(refusal: Refusal): OnceAction {
    const {current} = this;
    if (current === undefined)
      throw new Error('an attempt was refused, but none was dispatched');
    this.lastRefusal = refusal;
    if (REFUSALS[refusal.reason].outcome === 'outcome unknown')
      return this.fence(current);
    const mayRetry =
      REFUSALS[refusal.reason].tryElsewhere ||
      refusal.reason === 'claim-fenced';
    return this.settle(
      current.attempt,
      {kind: 'not run'},
      mayRetry ? undefined : this.refuse(refusal)
    );
  }

  private fence(claim: BoundClaim): OnceAction {
    this.current = claim;
    return {kind: 'fence', ...claim};
  }

  private fenceResult(result: FenceResult): OnceAction {
    const {current, lastRefusal} = this;
    if (current === undefined)
      throw new Error('a fence result arrived without a claim to fence');
    const detail = lastRefusal?.detail ?? '';
    switch (result.kind) {
      case 'fenced':
        this.lastRefusal = {
          ...this.ownRefusal('target-unreachable', 'settle', detail),
          peer: current.target.targetId,
        };
        return this.settle(current.attempt, {kind: 'not run'}, undefined);
      case 'ran':
        if (result.answer !== undefined) {
          return {
            kind: 'answer',
            answer: result.answer,
            settleAttempt: current.attempt,
          };
        }
        return this.unknown(current, detail);
      // The only boot that knew the outcome is gone, so it stays unknown;
      // nothing can run there any more.
      case 'other boot':
      case 'gone':
        return this.unknown(current, detail);
      case 'running':
      case 'no answer':
        return this.refuse(this.ownRefusal('in-progress', 'settle', detail));
      default:
        return unreachable(result);
    }
  }

  private unknown(claim: BoundClaim, detail: string): OnceAction {
    const refusal = {
      ...this.ownRefusal('outcome-unknown', 'settle', detail),
      peer: claim.target.targetId,
    };
    return this.settle(claim.attempt, {kind: 'unknown'}, this.refuse(refusal));
  }

  private settle(
    attempt: number,
    settlement: Settlement,
    nextAction: OnceAction | undefined
  ): OnceAction {
    this.current = undefined;
    const attemptsUsedUp =
      this.tried.size >= this.maxAttempts && this.lastRefusal !== undefined;
    this.afterSettle =
      nextAction ??
      (attemptsUsedUp && this.lastRefusal
        ? this.refuse(this.lastRefusal)
        : this.route());
    return {kind: 'settle', attempt, settlement};
  }

  private route(): OnceAction {
    return {kind: 'route', tried: this.tried};
  }

  private refuse(refusal: Refusal): OnceAction {
    return {kind: 'refuse', refusal};
  }

  private ownRefusal(
    reason: Refusal['reason'],
    step: Refusal['step'],
    detail: string
  ): Refusal {
    return {
      reason,
      step,
      peer: this.entryId,
      detail,
      retryAfterMs: RETRY_AFTER_MS,
    };
  }
}
