/**
 * Serves calls that are not idempotent and carry a key. The key is claimed on
 * a quorum of control before the dispatch, for one boot of one agent; what
 * became of a claim is then always asked of that agent, never guessed.
 */

import {createHash} from 'node:crypto';
import type {ClaimResult, RecordedAnswer, Settlement} from '../core/claims';
import {PeerError, unreachable} from '../core/errors';
import {headerPairs, endToEndHeaders, withHeaders} from '../core/httpHeaders';
import {Refusal, RefusalError, refuse} from '../core/refusal';
import {readBody} from '../core/upstream';
import type {Announcement} from '../core/wire';
import {
  ClaimRequest,
  FenceClaimAnswer,
  METHODS,
  SettleRequest,
} from '../rpc/messages';
import type {ClassifiedCall} from './call';
import {dispatchOnce, mayTryElsewhere} from './dispatchOnce';
import type {EntryCore} from './entryCore';
import {askAgent} from './askAgent';
import {route} from './route';
import {withDeadline} from './serveCall';

/** A claim younger than this is surely still being worked on. */
const SETTLE_AFTER_MS = 3_000;
const ASK_AGAIN_MS = 200;
const IN_PROGRESS_RETRY_MS = 1_000;
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
const SETTLE_TIMEOUT_MS = 10_000;
/**
 * Longest wait for a claim. Long enough for an election; without it a caller
 * waits out its whole deadline when no quorum answers, and a claim granted
 * just before the deadline leaves no time to run.
 */
const CLAIM_TIMEOUT_MS = 5_000;

/** Resolves once the answer has been sent; rejects with RefusalError. */
export async function serveOnce(
  core: EntryCore,
  call: ClassifiedCall,
  key: string
): Promise<void> {
  const answer = await withDeadline(call, () =>
    new OnceCall(core, call, key).run()
  );
  sendRecorded(call, answer);
}

class OnceCall {
  private readonly tried = new Set<string>();
  private readonly digest: string;
  private pendingSinceMs: number | undefined;

  constructor(
    private readonly core: EntryCore,
    private readonly call: ClassifiedCall,
    private readonly key: string
  ) {
    this.digest = digestOf(call);
  }

  async run(): Promise<RecordedAnswer> {
    let last: Refusal | undefined;
    for (;;) {
      this.call.progress.assertInTime('claim');
      const chosen = route(this.core, this.call, this.tried);
      if (chosen.kind === 'none') throw this.noTarget(last, chosen.detail);
      const claimed = await this.claim(chosen.target);
      const settled = await this.act(claimed, chosen.target);
      if (settled.kind === 'answer') return settled.answer;
      if (settled.refusal === undefined) continue;
      last = settled.refusal;
      if (
        this.tried.size >= this.call.limit.attempts ||
        !mayTryElsewhere(last, false)
      ) {
        throw new RefusalError(last);
      }
      this.core.metrics.count('request.retried', {reason: last.reason});
    }
  }

  private async act(claimed: ClaimResult, target: Announcement): Promise<Step> {
    const {entryId} = this.core;
    switch (claimed.kind) {
      case 'granted':
        return this.dispatch(target, claimed.attempt);
      case 'recorded':
        return {kind: 'answer', answer: claimed.answer};
      case 'pending':
        return this.awaitPending(claimed);
      case 'unknown':
        throw refuse(
          'outcome-unknown',
          'claim',
          entryId,
          'an earlier attempt may have run'
        );
      case 'mismatch':
        throw refuse(
          'key-conflict',
          'claim',
          entryId,
          'the key belongs to another request'
        );
      case 'expired':
        throw refuse(
          'key-expired',
          'claim',
          entryId,
          'the key is no longer on record'
        );
      case 'full':
        throw refuse(
          'key-record-full',
          'claim',
          entryId,
          'too many keys on record'
        );
      default:
        return unreachable(claimed);
    }
  }

  private async claim(target: Announcement): Promise<ClaimResult> {
    const {core, call, key, digest} = this;
    const request: ClaimRequest = {
      customer: call.customer,
      key,
      digest,
      entryId: core.entryId,
      requestId: `${call.requestId}/${this.tried.size}`,
      targetId: target.targetId,
      agentBootId: target.agentBootId,
    };
    try {
      return await core.sync.leader.call<ClaimResult>(
        METHODS.claim,
        request,
        Math.min(CLAIM_TIMEOUT_MS, call.progress.remainingMs())
      );
    } catch (err) {
      if (!(err instanceof PeerError)) throw err;
      // Nothing was dispatched, whether or not the claim was recorded.
      throw refuse(
        'control-unavailable',
        'claim',
        err.peer,
        err.message,
        IN_PROGRESS_RETRY_MS
      );
    }
  }

  private async dispatch(target: Announcement, attempt: number): Promise<Step> {
    const {core, call, key} = this;
    this.tried.add(target.targetId);
    core.load.began(target.targetId, 1);
    try {
      const outcome = await dispatchOnce(core, call, {
        number: attempt,
        target,
        cost: 1,
        claim: {key, attempt},
        signal: call.progress.signal,
      });
      if (outcome.kind === 'refused')
        return await this.refused(outcome.refusal, target, attempt);
      return await this.answered(outcome.answer, target, attempt);
    } finally {
      core.load.ended(target.targetId, 1);
    }
  }

  private async answered(
    answer: import('node:http').IncomingMessage,
    target: Announcement,
    attempt: number
  ): Promise<Step> {
    const body = await readBody(answer, MAX_ANSWER_BYTES).catch(
      () => undefined
    );
    if (body === undefined || !answer.complete) {
      const cut = 'the answer broke off';
      return this.refused(
        {
          reason: 'outcome-unknown',
          step: 'answer',
          peer: target.targetId,
          detail: cut,
        },
        target,
        attempt
      );
    }
    const recorded: RecordedAnswer = {
      status: answer.statusCode ?? 502,
      headers: headerPairs(endToEndHeaders(answer.rawHeaders)),
      bodyBase64: body.toString('base64'),
    };
    // The agent holds the answer too, so the caller need not wait for this.
    void this.settle(attempt, {kind: 'answered', answer: recorded});
    return {kind: 'answer', answer: recorded};
  }

  /** A positive refusal settles the claim; anything else asks the agent. */
  private async refused(
    refusal: Refusal,
    target: Announcement,
    attempt: number
  ): Promise<Step> {
    if (mayTryElsewhere(refusal, false) || refusal.reason === 'claim-fenced') {
      await this.settle(attempt, {kind: 'not run'});
      return {kind: 'retry', refusal};
    }
    return this.ask(refusal, target.agentBootId, target, attempt);
  }

  private async ask(
    refusal: Refusal,
    agentBootId: string,
    target: Announcement | undefined,
    attempt: number
  ): Promise<Step> {
    const {core, call, key} = this;
    const known = await askAgent(core, target, {
      customer: call.customer,
      key,
      attempt,
      agentBootId,
    });
    return this.judge(known, refusal, attempt);
  }

  private async judge(
    known: FenceClaimAnswer | undefined,
    refusal: Refusal,
    attempt: number
  ): Promise<Step> {
    const {entryId} = this.core;
    switch (known?.kind) {
      case 'fenced':
        await this.settle(attempt, {kind: 'not run'});
        return {
          kind: 'retry',
          refusal: {...refusal, reason: 'target-unreachable'},
        };
      case 'ran':
        if (known.answer !== undefined) {
          void this.settle(attempt, {kind: 'answered', answer: known.answer});
          return {kind: 'answer', answer: known.answer};
        }
        await this.settle(attempt, {kind: 'unknown'});
        throw new RefusalError({...refusal, reason: 'outcome-unknown'});
      case 'other boot':
        await this.settle(attempt, {kind: 'unknown'});
        throw new RefusalError({...refusal, reason: 'outcome-unknown'});
      case 'running':
      case undefined:
        throw refuse(
          'in-progress',
          'settle',
          entryId,
          refusal.detail,
          IN_PROGRESS_RETRY_MS
        );
    }
  }

  /** Another request holds the key: waits a little for it, then asks its agent. */
  private async awaitPending(
    pending: Extract<ClaimResult, {kind: 'pending'}>
  ): Promise<Step> {
    const nowMs = performance.now();
    this.pendingSinceMs ??= nowMs;
    if (nowMs - this.pendingSinceMs < SETTLE_AFTER_MS) {
      await new Promise(resolve => setTimeout(resolve, ASK_AGAIN_MS));
      return {kind: 'retry', refusal: undefined};
    }
    const {targetId, agentBootId, attempt} = pending;
    const target = this.core.sync.directory
      .list()
      .find(one => one.targetId === targetId);
    const detail = `attempt ${attempt} at ${targetId} is not settled`;
    return this.ask(
      {reason: 'in-progress', step: 'settle', peer: targetId, detail},
      agentBootId,
      target,
      attempt
    );
  }

  private async settle(attempt: number, settlement: Settlement): Promise<void> {
    const {core, call, key} = this;
    const request: SettleRequest = {
      customer: call.customer,
      key,
      attempt,
      settlement,
    };
    try {
      await core.sync.leader.call(METHODS.settle, request, SETTLE_TIMEOUT_MS);
    } catch (err) {
      call.logger.warn(
        {err: String(err), attempt},
        'the claim is still to be settled'
      );
    }
  }

  private noTarget(last: Refusal | undefined, detail: string): RefusalError {
    if (last !== undefined) return new RefusalError(last);
    return refuse(
      'no-target',
      'route',
      this.core.entryId,
      detail,
      IN_PROGRESS_RETRY_MS
    );
  }
}

type Step =
  | {readonly kind: 'answer'; readonly answer: RecordedAnswer}
  /** Without a refusal nothing was tried; the claim is asked for again. */
  | {readonly kind: 'retry'; readonly refusal: Refusal | undefined};

function digestOf({req, body}: ClassifiedCall): string {
  const hash = createHash('sha256').update(`${req.method} ${req.url}\n`);
  if (body.kind === 'buffered') hash.update(body.bytes);
  return hash.digest('hex');
}

function sendRecorded(
  {res, requestId}: ClassifiedCall,
  recorded: RecordedAnswer
): void {
  const body = Buffer.from(recorded.bodyBase64, 'base64');
  const own = {
    'marlpulley-request-id': requestId,
    'content-length': String(body.length),
  };
  res.writeHead(recorded.status, withHeaders(recorded.headers.flat(), own));
  res.end(body);
}
