/**
 * Serves calls that are not idempotent and carry a key, so that each runs at
 * most once. Before the dispatch, a quorum of control records a claim of the
 * key, bound to one boot of one agent. Only that agent decides whether a claim
 * whose response was lost has run; the entry never guesses.
 */

import {createHash} from 'node:crypto';
import type {
  ClaimResult,
  LookupResult,
  RecordedAnswer,
  Settlement,
} from '../core/claims';
import {PeerError, unreachable} from '../core/errors';
import {endToEndHeaders, headerPairs, withHeaders} from '../core/httpHeaders';
import {RefusalError} from '../core/refusal';
import {leaveEndUnmarked} from '../core/responseEnd';
import {readBody} from '../core/readBody';
import {
  ClaimRequest,
  LookupRequest,
  METHODS,
  SettleRequest,
} from '../rpc/messages';
import {fenceClaimAtAgent} from './fenceClaimAtAgent';
import type {ClassifiedCall} from './call';
import {callLogger} from './callLogger';
import type {AttemptOutcome} from './dispatchAttempt';
import {dispatchAttempt} from './dispatchAttempt';
import type {EntryCore} from './entryCore';
import {
  OnceAction,
  OnceEvent,
  OnceMachine,
  OnceTarget,
  FENCE_PENDING_AFTER_MS,
} from './onceMachine';
import {route} from './route';
import {withDeadline} from './serveCall';

const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
const SETTLE_TIMEOUT_MS = 10_000;
/**
 * Long enough for a leader election. Without this timeout, a caller would wait
 * until its deadline when no quorum responds, and a claim granted just before
 * the deadline would leave no time to run.
 */
const CLAIM_TIMEOUT_MS = 5_000;

/** Resolves once the response has been sent; rejects with RefusalError. */
export async function serveOnce(
  core: EntryCore,
  call: ClassifiedCall,
  key: string
): Promise<void> {
  const answer = await withDeadline(call, () =>
    new OnceDriver(core, call, key).run()
  );
  core.usage.add(call.customer, {requests: 1});
  sendRecordedResponse(call, answer);
}

/**
 * Carries out the actions of an OnceMachine and reports their results to it.
 */
class OnceDriver {
  private readonly machine: OnceMachine;
  private readonly digest: string;
  private claims = 0;

  constructor(
    private readonly core: EntryCore,
    private readonly call: ClassifiedCall,
    private readonly key: string
  ) {
    const {attempts, timeoutMs} = call.limit;
    // Fencing must start well before the deadline: in a pool with a short
    // timeout, every resend would otherwise get "in-progress" forever.
    const fenceAfterMs = Math.min(FENCE_PENDING_AFTER_MS, timeoutMs / 2);
    this.machine = new OnceMachine(core.entryId, attempts, fenceAfterMs);
    this.digest = requestDigest(call);
  }

  async run(): Promise<RecordedAnswer> {
    let action = this.machine.start();
    for (;;) {
      if (action.kind === 'refuse') throw new RefusalError(action.refusal);
      if (action.kind === 'answer') return this.answered(action);
      action = this.machine.next(await this.perform(action));
    }
  }

  private perform(
    action: Exclude<OnceAction, {kind: 'refuse' | 'answer'}>
  ): Promise<OnceEvent> | OnceEvent {
    switch (action.kind) {
      case 'route':
        return this.route(action.tried);
      case 'claim':
        return this.claim(action.target);
      case 'lookup':
        return this.lookup();
      case 'dispatch':
        return this.dispatch(action.target, action.attempt);
      case 'fence':
        return this.fence(action.target, action.attempt);
      case 'settle':
        return this.settle(action.attempt, action.settlement);
      case 'wait':
        return this.wait(action.ms);
      default:
        return unreachable(action);
    }
  }

  private answered({
    answer,
    settleAttempt,
  }: Extract<OnceAction, {kind: 'answer'}>): RecordedAnswer {
    // The agent holds the response too, so the caller does not wait for this.
    if (settleAttempt !== undefined)
      void this.settle(settleAttempt, {kind: 'answered', answer});
    return answer;
  }

  private route(tried: ReadonlySet<string>): OnceEvent {
    if (this.call.progress.remainingMs() === 0) return {kind: 'deadline'};
    const chosen = route(this.core, this.call, tried);
    if (chosen.kind === 'none')
      return {kind: 'no target', detail: chosen.detail};
    return {kind: 'routed', target: chosen.target};
  }

  private async claim({targetId, agentBootId}: OnceTarget): Promise<OnceEvent> {
    const {core, call, key, digest} = this;
    const request: ClaimRequest = {
      customer: call.customer,
      key,
      digest,
      entryId: core.entryId,
      // Each claim of a call leads to its own dispatch, so it needs its own id.
      requestId: `${call.requestId}/${++this.claims}`,
      targetId,
      agentBootId,
    };
    return this.callLeader<ClaimResult>(METHODS.claim, request, result => ({
      kind: 'claimed',
      result,
      nowMs: performance.now(),
    }));
  }

  private lookup(): Promise<OnceEvent> {
    const {call, key, digest} = this;
    const request: LookupRequest = {customer: call.customer, key, digest};
    return this.callLeader<LookupResult>(
      METHODS.lookupClaim,
      request,
      result => ({
        kind: 'looked up',
        result,
        nowMs: performance.now(),
      })
    );
  }

  private async callLeader<R>(
    method: string,
    request: unknown,
    toEvent: (result: R) => OnceEvent
  ): Promise<OnceEvent> {
    const {core, call} = this;
    const timeoutMs = Math.min(CLAIM_TIMEOUT_MS, call.progress.remainingMs());
    try {
      return toEvent(
        await core.sync.leader.call<R>(method, request, timeoutMs)
      );
    } catch (err) {
      if (!(err instanceof PeerError)) throw err;
      return {kind: 'claim failed', peer: err.peer, detail: err.message};
    }
  }

  private async dispatch(
    {targetId, agentBootId}: OnceTarget,
    attempt: number
  ): Promise<OnceEvent> {
    const {core, call, key} = this;
    const target = core.sync.directory
      .list()
      .find(one => one.targetId === targetId);
    if (target === undefined) return this.targetGone(targetId);
    core.load.began(targetId, 1);
    try {
      const outcome = await dispatchAttempt(core, call, {
        number: attempt,
        // The claim is bound to the boot that routing chose, not to a later
        // one.
        target: {...target, agentBootId},
        cost: 1,
        claim: {key, attempt},
        signal: call.progress.signal,
      });
      if (outcome.kind === 'refused') return outcome;
      return await this.readResponse(outcome, targetId);
    } finally {
      core.load.ended(targetId, 1);
    }
  }

  private targetGone(peer: string): OnceEvent {
    const detail = 'gone since it was chosen; nothing was sent';
    return {
      kind: 'refused',
      refusal: {reason: 'target-unreachable', step: 'dispatch', peer, detail},
    };
  }

  private async readResponse(
    {answer, report}: Extract<AttemptOutcome, {kind: 'answered'}>,
    peer: string
  ): Promise<OnceEvent> {
    const read = await readBody(answer, {maxBytes: MAX_RESPONSE_BYTES});
    if (read.kind !== 'whole') {
      const detail = 'the answer broke off';
      return {
        kind: 'refused',
        refusal: {reason: 'outcome-unknown', step: 'answer', peer, detail},
      };
    }
    const recorded: RecordedAnswer = {
      status: answer.statusCode ?? 502,
      headers: headerPairs(endToEndHeaders(answer.rawHeaders)),
      bodyBase64: read.body.toString('base64'),
      ...(report.endUnmarked === true ? {endUnmarked: true} : {}),
    };
    return {kind: 'answered', answer: recorded};
  }

  private async fence(target: OnceTarget, attempt: number): Promise<OnceEvent> {
    const {core, call, key} = this;
    const {targetId, agentBootId} = target;
    // The claim may come from another entry, for a target outside of this
    // entry's subset.
    const located = await core.sync.locate(targetId);
    if (located.kind === 'gone')
      return {kind: 'fence result', result: {kind: 'gone'}};
    if (located.kind === 'unknown')
      return {kind: 'fence result', result: {kind: 'no answer'}};
    const request = {customer: call.customer, key, attempt, agentBootId};
    const result = await fenceClaimAtAgent(core, located.announcement, request);
    return {kind: 'fence result', result: result ?? {kind: 'no answer'}};
  }

  private async settle(
    attempt: number,
    settlement: Settlement
  ): Promise<OnceEvent> {
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
      callLogger(core, call).warn(
        {err: String(err), attempt},
        'settling a claim failed; it stays pending until the key is sent again'
      );
    }
    return {kind: 'settled'};
  }

  private async wait(ms: number): Promise<OnceEvent> {
    await new Promise(resolve => setTimeout(resolve, ms));
    return {kind: 'waited'};
  }
}

function requestDigest({req, body}: ClassifiedCall): string {
  const hash = createHash('sha256').update(`${req.method} ${req.url}\n`);
  if (body.kind === 'buffered') hash.update(body.bytes);
  return hash.digest('hex');
}

function sendRecordedResponse(
  {res, requestId}: ClassifiedCall,
  recorded: RecordedAnswer
): void {
  const body = Buffer.from(recorded.bodyBase64, 'base64');
  const own: Record<string, string> = {'marlpulley-request-id': requestId};
  if (recorded.endUnmarked === true) leaveEndUnmarked(res);
  else own['content-length'] = String(body.length);
  res.writeHead(recorded.status, withHeaders(recorded.headers.flat(), own));
  res.end(body);
}
