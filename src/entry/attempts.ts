/**
 * Tries targets in turn until one responds or no further attempt is allowed.
 */

import type {IncomingMessage} from 'node:http';
import {CancelSignal, Cancellation, eitherSignal} from '../core/cancellation';
import {ExecutionRecord} from '../core/executionRecord';
import {REFUSALS, Refusal, RefusalError, refuse} from '../core/refusal';
import type {Announcement, DispatchReport} from '../core/wire';
import type {ClassifiedCall} from './call';
import {callLogger} from './callLogger';
import {
  AttemptOutcome,
  dispatchAttempt,
  mayTryElsewhere,
} from './dispatchAttempt';
import type {EntryCore} from './entryCore';
import type {CallerResume} from './chat/chatRequest';
import {HedgedAttempt, runHedged} from './hedge';
import {route} from './route';

/** An attempt that got a response, whose body is still to be read. */
export interface AnsweredAttempt {
  readonly answer: IncomingMessage;
  readonly report: DispatchReport;
  readonly target: Announcement;
  /** Removes the attempt from the load of its target; safe to call twice. */
  done(): void;
}

const NONE_TRIED: ReadonlySet<string> = new Set();
const NO_TARGET_RETRY_AFTER_MS = 500;

/**
 * Refusals that cost the target nothing and correct an outdated view of the
 * entry. A retry after one counts against neither the attempt limit nor the
 * retry budget; otherwise a zone taken out of service would use up the budget.
 */
const BUDGET_EXEMPT_REASONS: ReadonlySet<Refusal['reason']> = new Set([
  'zone-out',
  'target-leaving',
  'target-changed',
  'draining',
]);

type AttemptResult =
  | {readonly kind: 'answered'; readonly answered: AnsweredAttempt}
  | Extract<AttemptOutcome, {kind: 'refused'}>;

/** The attempts of one call. */
export class Attempts {
  private readonly tried = new Set<string>();
  private count = 0;
  private readonly execution = new ExecutionRecord();

  constructor(
    private readonly core: EntryCore,
    private readonly call: ClassifiedCall
  ) {
    this.budget().recordRequest();
  }

  /** Resolves with the first response; rejects with the last RefusalError. */
  async run(resume?: CallerResume): Promise<AnsweredAttempt> {
    try {
      return await this.tryAll(resume);
    } catch (err) {
      throw err instanceof RefusalError ? this.correctOutcome(err) : err;
    }
  }

  /**
   * Replaces "not run" by "outcome unknown" when an earlier attempt may have
   * run: the last refusal proves "not run" only for its own attempt.
   */
  private correctOutcome(err: RefusalError): RefusalError {
    const {refusal} = err;
    const saysNotRun = REFUSALS[refusal.reason].outcome === 'not run';
    if (!this.execution.mayHaveRun || !saysNotRun) return err;
    const detail = `an earlier attempt was lost; then ${refusal.reason}: ${refusal.detail}`;
    return new RefusalError({...refusal, reason: 'outcome-unknown', detail});
  }

  private async tryAll(
    resume: CallerResume | undefined
  ): Promise<AnsweredAttempt> {
    let lastRefusal: Refusal | undefined;
    for (;;) {
      this.call.progress.assertBeforeDeadline('route');
      const chosen = this.chooseNext(lastRefusal, resume);
      const outcome = await this.attempt(chosen.target, chosen.cost, resume);
      if (outcome.kind === 'answered') return outcome.answered;
      lastRefusal = outcome.refusal;
      this.assertMayRetry(lastRefusal);
    }
  }

  private chooseNext(
    lastRefusal: Refusal | undefined,
    resume: CallerResume | undefined
  ) {
    const {core, call, tried} = this;
    const chosen = route(core, call, tried, resume?.modelVersion);
    if (chosen.kind === 'target') return chosen;
    // Without another target, a stream may be resumed at one that lost it:
    // perhaps only the connection failed.
    if (resume !== undefined && lastRefusal === undefined) {
      const revisited = route(core, call, NONE_TRIED, resume.modelVersion);
      if (revisited.kind === 'target') return revisited;
    }
    // A target's refusal is more informative than "no-target".
    if (lastRefusal !== undefined) throw new RefusalError(lastRefusal);
    throw refuse(
      'no-target',
      'route',
      this.core.entryId,
      chosen.detail,
      NO_TARGET_RETRY_AFTER_MS
    );
  }

  /** Runs one attempt, with a hedge beside it where the rules ask for one. */
  private async attempt(
    target: Announcement,
    cost: number,
    resume: CallerResume | undefined
  ): Promise<AttemptResult> {
    const {limit} = this.call;
    const first = this.startAttempt(target, cost, resume);
    if (limit.hedgeAfterMs === undefined || !this.mayHedge())
      return first.outcome;
    return runHedged(first, limit.hedgeAfterMs, () => this.hedge(resume));
  }

  /**
   * A call can be hedged if it may run twice and its body can be sent twice.
   */
  private mayHedge(): boolean {
    const {once, body, chat} = this.call;
    return (
      once === undefined && body.kind !== 'streaming' && chat?.stream !== true
    );
  }

  private hedge(
    resume: CallerResume | undefined
  ): HedgedAttempt<AttemptResult> | undefined {
    const {core, call, tried} = this;
    const other = route(core, call, tried, resume?.modelVersion);
    if (other.kind === 'none' || !this.budget().tryRetry(performance.now()))
      return undefined;
    core.metrics.count('request.hedged');
    return this.startAttempt(other.target, other.cost, resume);
  }

  private startAttempt(
    target: Announcement,
    cost: number,
    resume: CallerResume | undefined
  ): HedgedAttempt<AttemptResult> {
    const {core, call} = this;
    this.tried.add(target.targetId);
    const tokens = call.chat?.promptTokens ?? 0;
    const prompt = {tokens, atMs: performance.now()};
    core.load.began(target.targetId, cost, prompt);
    const done = runOnce(() => core.load.ended(target.targetId, cost));
    const cancelled = new Cancellation();
    const timeoutMs = resume === undefined ? undefined : this.resumeTimeoutMs();
    const timer = startTimer(timeoutMs, () => cancelled.cancel());
    // Begun here so that it covers both attempts of a hedge: if one may have run, the
    // caller must not get the "not run" of the other.
    const execution = this.execution.begin();
    const outcome = dispatchAttempt(core, call, {
      number: ++this.count,
      target,
      cost,
      resumeFrom: resume?.fromToken,
      signal: this.attemptSignal(cancelled, timeoutMs),
    }).then((end): AttemptResult => {
      clearTimeout(timer);
      if (end.kind === 'answered') {
        const {answer, report} = end;
        return {kind: 'answered', answered: {answer, report, target, done}};
      }
      done();
      if (REFUSALS[end.refusal.reason].outcome === 'not run')
        execution.provenNotRun();
      return end;
    });
    const cancel = () => {
      cancelled.cancel();
      outcome.then(
        end => {
          if (end.kind !== 'answered') return;
          end.answered.done();
          end.answered.answer.destroy();
        },
        () => undefined
      );
    };
    return {outcome, cancel};
  }

  /**
   * Only an attempt that may be hedged, or has its own timeout, needs a signal
   * beside that of the call.
   */
  private attemptSignal(
    cancelled: Cancellation,
    timeoutMs: number | undefined
  ): CancelSignal {
    const {progress, limit} = this.call;
    const usesCallSignal =
      limit.hedgeAfterMs === undefined && timeoutMs === undefined;
    return usesCallSignal
      ? progress.signal
      : eitherSignal(progress.signal, cancelled);
  }

  /**
   * Timeout for the response head of a resumption; undefined for the last
   * attempt. A silent link reports no error: without the timeout, one attempt
   * would use up the remaining time, and the caller's stream would be cut
   * although another target could continue it.
   */
  private resumeTimeoutMs(): number | undefined {
    const {limit, progress} = this.call;
    const attemptsLeft = limit.attempts - this.count;
    return attemptsLeft > 1 ? progress.remainingMs() / attemptsLeft : undefined;
  }

  private assertMayRetry(refusal: Refusal): void {
    const {call, core} = this;
    const {signal} = call.progress;
    if (signal.aborted) throw this.timedOut();
    const idempotent = call.once === undefined;
    const repeatable =
      mayTryElsewhere(refusal, idempotent) && call.body.kind !== 'streaming';
    const attemptsUsedUp =
      this.count >= call.limit.attempts &&
      !BUDGET_EXEMPT_REASONS.has(refusal.reason);
    if (!repeatable || attemptsUsedUp || !this.takeFromBudget(refusal))
      throw new RefusalError(refusal);
    core.metrics.count('request.retried', {reason: refusal.reason});
    callLogger(core, call).info(
      {refusal},
      'attempt refused; trying another target'
    );
  }

  private takeFromBudget(refusal: Refusal): boolean {
    return (
      BUDGET_EXEMPT_REASONS.has(refusal.reason) ||
      this.budget().tryReplace(performance.now())
    );
  }

  /** The deadline passed while a target was working on the request. */
  private timedOut(): RefusalError {
    const {core} = this;
    return refuse(
      'timed-out',
      'dispatch',
      core.entryId,
      'no answer before the deadline'
    );
  }

  private budget() {
    const {pool, limit} = this.call;
    return this.core.retryBudgets.forPool(pool, limit.retryBudgetPercent);
  }
}

function runOnce(action: () => void): () => void {
  let pending = true;
  return () => {
    if (!pending) return;
    pending = false;
    action();
  };
}

/** Returns undefined without a time, which clearTimeout accepts as well. */
function startTimer(
  ms: number | undefined,
  action: () => void
): NodeJS.Timeout | undefined {
  return ms === undefined ? undefined : setTimeout(action, ms);
}
