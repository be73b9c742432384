/** One dispatch from the gate to the end of its answer. */

import http, {IncomingMessage, ServerResponse} from 'node:http';
import {CancelSignal, Cancellation} from '../core/cancellation';
import type {RecordedAnswer} from '../core/claims';
import {headerJson} from '../core/headerJson';
import {
  endToEndHeaders,
  headerPairs,
  relayedHeaders,
} from '../core/httpHeaders';
import {refuse} from '../core/refusal';
import {
  UpstreamError,
  cutOff,
  hasBody,
  relayAnswer,
  sendUpstream,
} from '../core/upstream';
import {Dispatch, REPORT_HEADER} from '../core/wire';
import {enginePriority} from '../policy/enginePriority';
import type {AgentCore} from './agentCore';
import type {Slot} from './gate';
import {claimIdOf} from './onceGuard';

/** Answers of non-idempotent calls up to this size are kept for resends. */
const MAX_RECORDED_BYTES = 64 * 1024;
const EVENT_STREAM = 'text/event-stream';
const CANCEL_TIMEOUT_MS = 2_000;

/** Connections to the target are kept; calls that may not repeat use their own. */
const keepAlive = new http.Agent({keepAlive: true});
/** Nobody cancels it. */
const NEVER: CancelSignal = new Cancellation();

/** Resolves once the answer has ended; rejects with RefusalError before it. */
export async function serveDispatch(
  core: AgentCore,
  dispatch: Dispatch,
  req: IncomingMessage,
  res: ServerResponse
): Promise<void> {
  core.sawRevision(dispatch.revision);
  const gone = new Cancellation();
  // After a whole answer there is nothing to end.
  res.on('close', () => {
    if (!res.writableFinished) gone.cancel();
  });
  const slot = await core.gate.enter(dispatch, gone);
  const claimId =
    dispatch.claim &&
    claimIdOf(dispatch.customer, dispatch.claim.key, dispatch.claim.attempt);
  try {
    if (claimId !== undefined) beginClaim(core, dispatch, claimId);
  } catch (err) {
    slot.release();
    throw err;
  }
  await new Exchange(core, dispatch, slot, claimId, gone).run(req, res);
}

/**
 * Whether something of the body came along with the head. The head then goes
 * out with it: alone it costs a write, a TLS record and a wake-up of the entry.
 */
function hasBegun(answer: IncomingMessage): boolean {
  return answer.readableLength > 0 || answer.complete;
}

/** At most one dispatch of a claim passes, however many arrive. */
function beginClaim(
  core: AgentCore,
  dispatch: Dispatch,
  claimId: string
): void {
  // The boot id may have been renewed since the gate let the request in, and
  // with it the record of barred claims.
  if (dispatch.agentBootId !== core.agentBootId)
    throw refuse('target-changed', 'gate', core.targetId, 'a new boot id');
  const verdict = core.once.begin(claimId);
  switch (verdict) {
    case 'run':
      core.renewBootIfFull();
      return;
    case 'fenced':
      throw refuse(
        'claim-fenced',
        'gate',
        core.targetId,
        'settled as not run before'
      );
    case 'running':
    case 'ran':
      throw refuse(
        'in-progress',
        'gate',
        core.targetId,
        `the claim is ${verdict} here`
      );
  }
}

/** One request to the target. */
class Exchange {
  private readonly startedAtMs = performance.now();
  private readonly recorded: Buffer[] = [];
  private recordedBytes = 0;
  private isStream = false;
  private prefilling = false;
  private lastTokenAtMs: number | undefined;

  constructor(
    private readonly core: AgentCore,
    private readonly dispatch: Dispatch,
    private readonly slot: Slot,
    private readonly claimId: string | undefined,
    private readonly gone: CancelSignal
  ) {}

  async run(req: IncomingMessage, res: ServerResponse): Promise<void> {
    // A whole answer does not show where its prompt ends; taken for one long
    // prompt it would hide the pace of all streams beside it.
    if (this.dispatch.stream === true) {
      this.prefilling = true;
      this.core.state.prefillBegan();
    }
    try {
      await this.exchange(req, res);
    } finally {
      this.endPrefill(performance.now());
    }
  }

  private async exchange(
    req: IncomingMessage,
    res: ServerResponse
  ): Promise<void> {
    const answer = await this.send(req);
    if (this.gone.aborted) return this.answeredNobody(answer);
    res.writeHead(
      answer.statusCode ?? 502,
      answer.statusMessage,
      this.answerHeaders(answer)
    );
    const relayed = this.relay(answer, res);
    if (!hasBegun(answer)) res.flushHeaders();
    switch (await relayed) {
      case 'complete':
        return this.completed(answer);
      case 'source cut':
        this.failed();
        return cutOff(res);
      case 'sink closed':
        return this.abandoned(answer);
    }
  }

  private relay(answer: IncomingMessage, res: ServerResponse) {
    const type = answer.headers['content-type'] ?? '';
    this.isStream = type.startsWith(EVENT_STREAM);
    return relayAnswer(answer, res, chunk => {
      this.record(chunk);
      if (this.isStream) this.timeToken(res);
    });
  }

  /** A slow caller delays tokens as well; its gaps say nothing of the target. */
  private timeToken(res: ServerResponse): void {
    const nowMs = performance.now();
    this.endPrefill(nowMs);
    const {core, lastTokenAtMs} = this;
    const held = res.writableNeedDrain;
    this.lastTokenAtMs = held ? undefined : nowMs;
    if (lastTokenAtMs === undefined || held) return;
    const {outstanding} = core.gate;
    const gap = {nowMs, startedAtMs: lastTokenAtMs, outstanding};
    core.state.token(gap, core.warmup());
  }

  private endPrefill(nowMs: number): void {
    if (!this.prefilling) return;
    this.prefilling = false;
    this.core.state.prefillEnded(nowMs);
  }

  private async send(req: IncomingMessage): Promise<IncomingMessage> {
    const {adapter, target} = this.core;
    const resumed = this.dispatch.resumeFrom !== undefined;
    const priority = enginePriority({inCredit: this.slot.inCredit, resumed});
    const headers = relayedHeaders(
      req.rawHeaders,
      adapter.requestHeaders({...this.dispatch, priority})
    );
    try {
      return await sendUpstream({
        secure: false,
        host: target.host,
        port: target.port,
        // A kept connection can close just as the request is written, and then
        // nobody knows whether it ran; a fresh one makes that rare.
        agent: this.dispatch.idempotent ? keepAlive : false,
        method: req.method ?? 'GET',
        path: req.url ?? '/',
        headers,
        body: hasBody(req) ? req : undefined,
        signal: this.sendSignal(),
      });
    } catch (err) {
      throw this.sendFailed(err);
    }
  }

  /** A call that may have run is never broken off: its answer is wanted. */
  private sendSignal(): CancelSignal {
    return this.dispatch.idempotent ? this.gone : NEVER;
  }

  private sendFailed(err: unknown): Error {
    const {core, claimId} = this;
    const notSent = err instanceof UpstreamError && !err.sent;
    if (notSent) {
      if (claimId !== undefined) core.once.release(claimId);
      core.state.lost(performance.now());
      this.slot.release();
      return refuse(
        'target-unreachable',
        'target',
        core.adapter.peer,
        String(err)
      );
    }
    if (this.gone.aborted) void this.cancelThenRelease();
    else this.failed();
    if (claimId !== undefined) core.once.finish(claimId);
    return refuse('outcome-unknown', 'target', core.adapter.peer, String(err));
  }

  private answerHeaders(answer: IncomingMessage): string[] {
    const report = headerJson(this.core.report(this.slot.queuedMs));
    return relayedHeaders(answer.rawHeaders, {
      [REPORT_HEADER]: report,
    });
  }

  private record(chunk: Buffer): void {
    if (this.claimId === undefined || this.recordedBytes > MAX_RECORDED_BYTES)
      return;
    this.recordedBytes += chunk.length;
    this.recorded.push(chunk);
  }

  private completed(answer: IncomingMessage): void {
    const nowMs = performance.now();
    const {core, dispatch, startedAtMs} = this;
    if (this.claimId !== undefined)
      core.once.finish(this.claimId, this.recordedAnswer(answer));
    const outstanding = core.gate.outstanding;
    const sample = {nowMs, startedAtMs, outstanding, cost: dispatch.cost};
    // The tokens of a stream have told more, and sooner.
    if (!this.isStream) core.state.served(sample, core.warmup());
    this.slot.release(nowMs - startedAtMs);
  }

  private recordedAnswer(answer: IncomingMessage): RecordedAnswer | undefined {
    if (this.recordedBytes > MAX_RECORDED_BYTES) return undefined;
    return {
      status: answer.statusCode ?? 502,
      headers: headerPairs(endToEndHeaders(answer.rawHeaders)),
      bodyBase64: Buffer.concat(this.recorded).toString('base64'),
    };
  }

  private failed(): void {
    const {core, claimId} = this;
    if (claimId !== undefined) core.once.finish(claimId);
    core.state.strained(performance.now());
    core.metrics.count('gate.cold', {reason: 'connection lost'});
    this.slot.release();
  }

  /**
   * The caller went away while the target worked. Its connection tells so only
   * once, before this: relaying to it would wait for ever, keep the slot and
   * leave the claim running, so that no resend could get the answer.
   */
  private answeredNobody(answer: IncomingMessage): Promise<void> {
    answer.on('data', (chunk: Buffer) => this.record(chunk));
    return this.abandoned(answer);
  }

  /** The caller went away while the answer was coming. */
  private async abandoned(answer: IncomingMessage): Promise<void> {
    if (answer.complete && answer.readableEnded) return this.completed(answer);
    this.core.metrics.count('request.cancelled');
    if (!this.dispatch.idempotent) return this.drain(answer);
    answer.destroy();
    await this.cancelThenRelease();
  }

  /** Reads the rest, so that the record of the call is whole. */
  private drain(answer: IncomingMessage): void {
    answer.on('data', () => undefined);
    answer.on('end', () => this.completed(answer));
    answer.on('error', () => this.failed());
    answer.resume();
  }

  /**
   * Work that still runs at the target counts against its limit: the slot is
   * free only once the target says that the request no longer runs.
   */
  private async cancelThenRelease(): Promise<void> {
    const {core, dispatch} = this;
    try {
      const answer = await core.adapter.cancel(
        dispatch,
        AbortSignal.timeout(CANCEL_TIMEOUT_MS)
      );
      if (answer.kind === 'unsupported') core.state.strained(performance.now());
    } catch (err) {
      core.logger.warn(
        {err: String(err), requestId: dispatch.requestId},
        'cancel failed'
      );
      core.state.strained(performance.now());
    }
    this.slot.release();
  }
}
