/**
 * Decides each step of a call that is not idempotent. Pure: the driver in
 * serveOnce.ts does what it is told and reports what came of it, and the fuzz
 * model drives the same decisions under faults.
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

/** A claim younger than this is surely still being worked on. */
export const SETTLE_AFTER_MS = 3_000;
const ASK_AGAIN_MS = 200;
const RETRY_AFTER_MS = 1_000;

/** A target as far as the decisions need it. */
export interface OnceTarget {
  readonly targetId: string;
  readonly agentBootId: string;
}

/** What the driver does next. */
export type OnceAction =
  | {readonly kind: 'route'; readonly tried: ReadonlySet<string>}
  | {readonly kind: 'claim'; readonly target: OnceTarget}
  /** Asks for the record of the key without claiming it. */
  | {readonly kind: 'lookup'}
  | {
      readonly kind: 'dispatch';
      readonly target: OnceTarget;
      readonly attempt: number;
    }
  /** Asks the boot that a claim was bound to what became of it. */
  | {
      readonly kind: 'ask';
      readonly target: OnceTarget;
      readonly attempt: number;
    }
  | {
      readonly kind: 'settle';
      readonly attempt: number;
      readonly settlement: Settlement;
    }
  | {readonly kind: 'wait'; readonly ms: number}
  /** The end; an answer that is not yet on record is settled beside it. */
  | {
      readonly kind: 'answer';
      readonly answer: RecordedAnswer;
      readonly settleAttempt?: number;
    }
  | {readonly kind: 'refuse'; readonly refusal: Refusal};

/** What an agent tells, or why it could not be asked. */
export type AskResult =
  | FenceClaimAnswer
  /** It did not answer in time. */
  | {readonly kind: 'no answer'}
  /** No control instance hears of it any more. */
  | {readonly kind: 'gone'};

/** What came of the last action. */
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
  | {readonly kind: 'asked'; readonly result: AskResult}
  /** Whether control took it; a settlement that it did not take is repeated by a resend. */
  | {readonly kind: 'settled'}
  | {readonly kind: 'waited'}
  | {readonly kind: 'deadline'};

interface Dispatched {
  readonly target: OnceTarget;
  readonly attempt: number;
}

/** One call under one key at one entry. */
export class OnceMachine {
  private readonly tried = new Set<string>();
  private pendingSinceMs: number | undefined;
  /** The claim that is being dispatched or asked about. */
  private current: Dispatched | undefined;
  private target: OnceTarget | undefined;
  private last: Refusal | undefined;
  private noTarget = '';
  private afterSettle: OnceAction | undefined;

  constructor(
    private readonly entryId: string,
    private readonly maxAttempts: number,
    /** Time from which a pending claim is asked about, milliseconds. */
    private readonly settleAfterMs = SETTLE_AFTER_MS
  ) {}

  start(): OnceAction {
    return this.route();
  }

  next(event: OnceEvent): OnceAction {
    switch (event.kind) {
      case 'routed':
        this.target = event.target;
        return {kind: 'claim', target: event.target};
      // With no target to run at, an earlier request under the key may still
      // have run: "not run" would send its caller to another socket.
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
          ...this.own('control-unavailable', 'claim', event.detail),
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
      case 'asked':
        return this.asked(event.result);
      case 'settled':
        return this.afterSettle ?? this.route();
      case 'waited':
        return this.route();
      case 'deadline':
        return this.refuse(
          this.last ??
            this.own('deadline-passed', 'claim', 'the deadline has passed')
        );
      default:
        return unreachable(event);
    }
  }

  private lookedUp(result: LookupResult, nowMs: number): OnceAction {
    if (result.kind !== 'none') return this.claimed(result, nowMs);
    const none = this.own('no-target', 'route', this.noTarget);
    return this.refuse(this.last ?? none);
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
          this.own(
            'outcome-unknown',
            'claim',
            'an earlier attempt may have run'
          )
        );
      case 'mismatch':
        return this.refuse(
          this.own(
            'key-conflict',
            'claim',
            'the key belongs to another request'
          )
        );
      case 'expired':
        return this.refuse(
          this.own('key-expired', 'claim', 'the key is no longer on record')
        );
      case 'full':
        return this.refuse(
          this.own('key-record-full', 'claim', 'too many keys on record')
        );
      default:
        return unreachable(result);
    }
  }

  private granted(attempt: number): OnceAction {
    const {target} = this;
    if (target === undefined) throw new Error('granted without a target');
    this.tried.add(target.targetId);
    this.pendingSinceMs = undefined;
    this.last = undefined;
    this.current = {target, attempt};
    return {kind: 'dispatch', target, attempt};
  }

  /** Another request holds the key: waits a little for it, then asks its agent. */
  private pending(
    held: Extract<ClaimResult, {kind: 'pending'}>,
    nowMs: number
  ): OnceAction {
    this.pendingSinceMs ??= nowMs;
    // Whatever ends the wait, the caller must not hear "not run" of a key that
    // another request may be running.
    this.last = this.own(
      'in-progress',
      'settle',
      `attempt ${held.attempt} at ${held.targetId} is not settled`
    );
    if (nowMs - this.pendingSinceMs < this.settleAfterMs)
      return {kind: 'wait', ms: ASK_AGAIN_MS};
    const {targetId, agentBootId, attempt} = held;
    return this.ask({target: {targetId, agentBootId}, attempt});
  }

  /**
   * A positive refusal proves that this attempt did not run. Anything else
   * proves nothing: a request that timed out here may still arrive there, so
   * its agent is asked, which bars it for good if it has not run.
   */
  private refused(refusal: Refusal): OnceAction {
    const {current} = this;
    if (current === undefined) throw new Error('refused without a dispatch');
    this.last = refusal;
    if (REFUSALS[refusal.reason].outcome === 'outcome unknown')
      return this.ask(current);
    const again =
      REFUSALS[refusal.reason].tryElsewhere ||
      refusal.reason === 'claim-fenced';
    return this.settle(
      current.attempt,
      {kind: 'not run'},
      again ? undefined : this.refuse(refusal)
    );
  }

  private ask(claim: Dispatched): OnceAction {
    this.current = claim;
    return {kind: 'ask', ...claim};
  }

  private asked(result: AskResult): OnceAction {
    const {current, last} = this;
    if (current === undefined) throw new Error('asked without a claim');
    const detail = last?.detail ?? '';
    switch (result.kind) {
      case 'fenced':
        this.last = {
          ...this.own('target-unreachable', 'settle', detail),
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
      // The boot that could have told is gone, and it runs nothing any more.
      case 'other boot':
      case 'gone':
        return this.unknown(current, detail);
      case 'running':
      case 'no answer':
        return this.refuse(this.own('in-progress', 'settle', detail));
      default:
        return unreachable(result);
    }
  }

  private unknown(claim: Dispatched, detail: string): OnceAction {
    const refusal = {
      ...this.own('outcome-unknown', 'settle', detail),
      peer: claim.target.targetId,
    };
    return this.settle(claim.attempt, {kind: 'unknown'}, this.refuse(refusal));
  }

  private settle(
    attempt: number,
    settlement: Settlement,
    then: OnceAction | undefined
  ): OnceAction {
    this.current = undefined;
    const spent =
      this.tried.size >= this.maxAttempts && this.last !== undefined;
    this.afterSettle =
      then ?? (spent && this.last ? this.refuse(this.last) : this.route());
    return {kind: 'settle', attempt, settlement};
  }

  private route(): OnceAction {
    return {kind: 'route', tried: this.tried};
  }

  private refuse(refusal: Refusal): OnceAction {
    return {kind: 'refuse', refusal};
  }

  private own(
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
