/** Tries targets in turn until one answers or nothing more may be tried. */

import type {IncomingMessage} from 'node:http';
import {CancelSignal, Cancellation, joined} from '../core/cancellation';
import {REFUSALS, Refusal, RefusalError, refuse} from '../core/refusal';
import type {Announcement, DispatchReport} from '../core/wire';
import type {ClassifiedCall} from './call';
import {callLogger} from './callLogger';
import {AttemptOutcome, dispatchOnce, mayTryElsewhere} from './dispatchOnce';
import type {EntryCore} from './entryCore';
import type {CallerResume} from './chat/chatRequest';
import {HedgeLeg, hedged} from './hedge';
import {route} from './route';

/** A target's answer whose body is still to be read. */
export interface Answered {
  readonly answer: IncomingMessage;
  readonly report: DispatchReport;
  readonly target: Announcement;
  /** Ends the accounting of the attempt; safe to call twice. */
  done(): void;
}

const NONE_TRIED: ReadonlySet<string> = new Set();
const NO_TARGET_RETRY_MS = 500;

/**
 * Refusals that cost the target nothing and tell the entry something it did
 * not know yet: they draw on no retry budget, or a zone that goes out would
 * use it up.
 */
const FREE_TO_RETRY: ReadonlySet<Refusal['reason']> = new Set([
  'zone-out',
  'target-leaving',
  'target-changed',
  'draining',
]);

type AttemptEnd =
  | {readonly kind: 'answered'; readonly answered: Answered}
  | Extract<AttemptOutcome, {kind: 'refused'}>;

/** The attempts of one call. */
export class Attempts {
  private readonly tried = new Set<string>();
  private count = 0;
  private mayHaveRun = false;

  constructor(
    private readonly core: EntryCore,
    private readonly call: ClassifiedCall
  ) {
    this.budget().request();
  }

  /** Resolves with the first answer; rejects with the last RefusalError. */
  async run(resume?: CallerResume): Promise<Answered> {
    try {
      return await this.tryAll(resume);
    } catch (err) {
      throw err instanceof RefusalError ? this.honest(err) : err;
    }
  }

  /** The answer of an attempt was lost after it had begun. */
  answerLost(): void {
    this.mayHaveRun = true;
  }

  /**
   * The last target's "not run" holds for that attempt alone: when an earlier
   * one was lost on the way, the request may have run there.
   */
  private honest(err: RefusalError): RefusalError {
    const {refusal} = err;
    const saysNotRun = REFUSALS[refusal.reason].outcome === 'not run';
    if (!this.mayHaveRun || !saysNotRun) return err;
    const detail = `an earlier attempt was lost; then ${refusal.reason}: ${refusal.detail}`;
    return new RefusalError({...refusal, reason: 'outcome-unknown', detail});
  }

  private async tryAll(resume: CallerResume | undefined): Promise<Answered> {
    let last: Refusal | undefined;
    for (;;) {
      this.call.progress.assertInTime('route');
      const next = this.next(last, resume);
      const outcome = await this.attempt(next.target, next.cost, resume);
      if (outcome.kind === 'answered') return outcome.answered;
      last = outcome.refusal;
      this.assertMayRepeat(last);
    }
  }

  private next(last: Refusal | undefined, resume: CallerResume | undefined) {
    const {core, call, tried} = this;
    const chosen = route(core, call, tried, resume?.modelVersion);
    if (chosen.kind === 'target') return chosen;
    // A stream may go on where it broke off, if there is nowhere else: only
    // its connection may have been lost.
    if (resume !== undefined && last === undefined) {
      const again = route(core, call, NONE_TRIED, resume.modelVersion);
      if (again.kind === 'target') return again;
    }
    // A target that refused said more than "there is no other".
    if (last !== undefined) throw new RefusalError(last);
    throw refuse(
      'no-target',
      'route',
      this.core.entryId,
      chosen.detail,
      NO_TARGET_RETRY_MS
    );
  }

  /** One attempt, with a second one beside it where the rules hedge. */
  private async attempt(
    target: Announcement,
    cost: number,
    resume: CallerResume | undefined
  ): Promise<AttemptEnd> {
    const {limit} = this.call;
    const first = this.leg(target, cost, resume);
    if (limit.hedgeAfterMs === undefined || !this.mayHedge())
      return first.outcome;
    return hedged(first, limit.hedgeAfterMs, () => this.hedge(resume));
  }

  /** Only what may run twice, and what can be sent twice. */
  private mayHedge(): boolean {
    const {once, body, chat} = this.call;
    return (
      once === undefined && body.kind !== 'streaming' && chat?.stream !== true
    );
  }

  private hedge(
    resume: CallerResume | undefined
  ): HedgeLeg<AttemptEnd> | undefined {
    const {core, call, tried} = this;
    const other = route(core, call, tried, resume?.modelVersion);
    if (other.kind === 'none' || !this.budget().tryRetry(performance.now()))
      return undefined;
    core.metrics.count('request.hedged');
    return this.leg(other.target, other.cost, resume);
  }

  private leg(
    target: Announcement,
    cost: number,
    resume: CallerResume | undefined
  ): HedgeLeg<AttemptEnd> {
    const {core, call} = this;
    this.tried.add(target.targetId);
    const tokens = call.chat?.promptTokens ?? 0;
    const prompt = {tokens, atMs: performance.now()};
    core.load.began(target.targetId, cost, prompt);
    const done = runOnce(() => core.load.ended(target.targetId, cost));
    const cancelled = new Cancellation();
    const boundMs = resume === undefined ? undefined : this.resumeWithinMs();
    const bound = timeout(boundMs, () => cancelled.cancel());
    const outcome = dispatchOnce(core, call, {
      number: ++this.count,
      target,
      cost,
      resumeFrom: resume?.fromToken,
      signal: this.legSignal(cancelled, boundMs),
    }).then((end): AttemptEnd => {
      clearTimeout(bound);
      if (end.kind === 'answered') {
        const {answer, report} = end;
        return {kind: 'answered', answered: {answer, report, target, done}};
      }
      done();
      // Noted here, for both legs of a hedge: the other one's "not run" would
      // otherwise be the last word.
      const {outcome} = REFUSALS[end.refusal.reason];
      this.mayHaveRun ||= outcome === 'outcome unknown';
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

  /** Only a leg that is hedged or bounded can be cancelled alone. */
  private legSignal(
    cancelled: Cancellation,
    boundMs: number | undefined
  ): CancelSignal {
    const {progress, limit} = this.call;
    const isAlone = limit.hedgeAfterMs === undefined && boundMs === undefined;
    return isAlone ? progress.signal : joined(progress.signal, cancelled);
  }

  /**
   * Longest wait for the head of a resumption, while another may follow. A link
   * that went silent says nothing: without a bound the one attempt takes all the
   * time that is left, and the caller's stream is cut though others could go on.
   */
  private resumeWithinMs(): number | undefined {
    const {limit, progress} = this.call;
    const left = limit.attempts - this.count;
    return left > 1 ? progress.remainingMs() / left : undefined;
  }

  private assertMayRepeat(refusal: Refusal): void {
    const {call, core} = this;
    const {signal} = call.progress;
    if (signal.aborted) throw this.timedOut();
    const idempotent = call.once === undefined;
    const repeatable =
      mayTryElsewhere(refusal, idempotent) && call.body.kind !== 'streaming';
    const last =
      this.count >= call.limit.attempts && !FREE_TO_RETRY.has(refusal.reason);
    if (!repeatable || last || !this.mayAfford(refusal))
      throw new RefusalError(refusal);
    core.metrics.count('request.retried', {reason: refusal.reason});
    callLogger(core, call).info({refusal}, 'trying another target');
  }

  private mayAfford(refusal: Refusal): boolean {
    return (
      FREE_TO_RETRY.has(refusal.reason) ||
      this.budget().tryReplace(performance.now())
    );
  }

  /** The deadline passed while a target had the request. */
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
    return this.core.budgets.of(pool, limit.retryBudgetPercent);
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

/** A timer, or none without a time; clearTimeout takes either. */
function timeout(
  ms: number | undefined,
  action: () => void
): NodeJS.Timeout | undefined {
  return ms === undefined ? undefined : setTimeout(action, ms);
}
