/** Serves one dispatch, from its admission to the end of its response. */

import http, {IncomingMessage, ServerResponse} from 'node:http';
import {ByteBuffer} from '../core/byteBuffer';
import {framingOf} from '../core/bodyFraming';
import {CancelSignal, Cancellation} from '../core/cancellation';
import type {RecordedAnswer} from '../core/claims';
import {headerJson} from '../core/headerJson';
import {
  endToEndHeaders,
  headerPairs,
  relayedHeaders,
} from '../core/httpHeaders';
import {refuse} from '../core/refusal';
import {abortResponse} from '../core/responseEnd';
import {
  UpstreamError,
  hasBody,
  relayBody,
  sendUpstream,
} from '../core/upstream';
import {Dispatch, DispatchReport, REPORT_HEADER} from '../core/wire';
import {enginePriority} from '../policy/enginePriority';
import type {AgentCore} from './agentCore';
import {awaitRevision} from './awaitRevision';
import type {Slot} from './gate';
import {claimIdOf} from './claimRegistry';

/** Largest response of a non-idempotent call that is kept for resends. */
const MAX_RECORDED_BODY_BYTES = 64 * 1024;
const EVENT_STREAM = 'text/event-stream';
const CANCEL_TIMEOUT_MS = 2_000;

/** For idempotent calls; the others use a fresh connection each. */
const keepAlive = new http.Agent({keepAlive: true});
const NEVER_CANCELLED: CancelSignal = new Cancellation();

/**
 * Resolves when the response has ended; rejects with RefusalError if there is
 * no response.
 */
export async function serveDispatch(
  core: AgentCore,
  dispatch: Dispatch,
  req: IncomingMessage,
  res: ServerResponse
): Promise<void> {
  core.observeRevision(dispatch.revision);
  const callerGone = new Cancellation();
  // The close after a complete response cancels nothing.
  res.on('close', () => {
    if (!res.writableFinished) callerGone.cancel();
  });
  const current = await awaitRevision(core, dispatch, callerGone);
  const slot = await core.gate.acquire(current, callerGone);
  const claimId =
    dispatch.claim &&
    claimIdOf(dispatch.customer, dispatch.claim.key, dispatch.claim.attempt);
  try {
    if (claimId !== undefined) beginClaim(core, dispatch, claimId);
  } catch (err) {
    slot.release();
    throw err;
  }
  await new Exchange(core, dispatch, slot, claimId, callerGone).run(req, res);
}

/**
 * Whether body data arrived together with the head. The head is then sent with
 * it: sent alone, it costs a write, a TLS record and a wake-up of the entry.
 */
function hasBodyData(response: IncomingMessage): boolean {
  return response.readableLength > 0 || response.complete;
}

function endMarkOf(response: IncomingMessage): {endUnmarked?: true} {
  return framingOf(response) === 'close' ? {endUnmarked: true} : {};
}

/** Lets only the first dispatch of a claim pass; refuses the others. */
function beginClaim(
  core: AgentCore,
  dispatch: Dispatch,
  claimId: string
): void {
  // Since the admission, the boot id may have been renewed and the record of
  // fenced claims discarded.
  if (dispatch.agentBootId !== core.agentBootId)
    throw refuse('target-changed', 'gate', core.targetId, 'a new boot id');
  const verdict = core.claimRegistry.begin(claimId);
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

/** One request at the target, up to the release of its slot. */
class Exchange {
  private readonly startedAtMs = performance.now();
  private readonly recorded = new ByteBuffer();
  private isStream = false;
  private isPrefilling = false;
  private lastTokenAtMs: number | undefined;

  constructor(
    private readonly core: AgentCore,
    private readonly dispatch: Dispatch,
    private readonly slot: Slot,
    private readonly claimId: string | undefined,
    private readonly callerGone: CancelSignal
  ) {}

  async run(req: IncomingMessage, res: ServerResponse): Promise<void> {
    // A response that is not streamed does not show when its prefill ends.
    // Counted as one long prefill, it would exclude the token gaps of all other
    // streams.
    if (this.dispatch.stream === true) {
      this.isPrefilling = true;
      this.core.state.prefillStarted();
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
    const response = await this.send(req);
    try {
      await this.relayResponse(response, res);
    } catch (err) {
      response.destroy();
      this.failed();
      throw err;
    }
  }

  private async relayResponse(
    response: IncomingMessage,
    res: ServerResponse
  ): Promise<void> {
    if (this.callerGone.aborted)
      return this.onResponseAfterCallerGone(response);
    res.writeHead(
      response.statusCode ?? 502,
      response.statusMessage,
      this.responseHeaders(response)
    );
    const relayed = this.relay(response, res);
    if (!hasBodyData(response)) res.flushHeaders();
    switch (await relayed) {
      case 'complete':
        return this.onResponseComplete(response);
      case 'source cut':
        this.failed();
        return abortResponse(res);
      case 'sink closed':
        return this.onCallerGone(response);
    }
  }

  private relay(response: IncomingMessage, res: ServerResponse) {
    const type = response.headers['content-type'] ?? '';
    this.isStream = type.startsWith(EVENT_STREAM);
    return relayBody(response, res, chunk => {
      this.record(chunk);
      if (this.isStream) this.recordTokenGap(res);
    });
  }

  /**
   * Ignores gaps while the caller reads slowly: they do not show the target's
   * latency.
   */
  private recordTokenGap(res: ServerResponse): void {
    const nowMs = performance.now();
    this.endPrefill(nowMs);
    const {core, lastTokenAtMs} = this;
    const isCallerSlow = res.writableNeedDrain;
    this.lastTokenAtMs = isCallerSlow ? undefined : nowMs;
    if (lastTokenAtMs === undefined || isCallerSlow) return;
    const {outstanding} = core.gate;
    const gap = {nowMs, startedAtMs: lastTokenAtMs, outstanding};
    core.state.recordTokenGap(gap, core.warmup());
  }

  private endPrefill(nowMs: number): void {
    if (!this.isPrefilling) return;
    this.isPrefilling = false;
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
        // A reused connection may close while the request is written, which
        // leaves the outcome unknown; on a fresh connection that is rare.
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

  /**
   * A non-idempotent call is never cancelled: its response is recorded for
   * resends.
   */
  private sendSignal(): CancelSignal {
    return this.dispatch.idempotent ? this.callerGone : NEVER_CANCELLED;
  }

  private sendFailed(err: unknown): Error {
    const {core, claimId} = this;
    const notSent = err instanceof UpstreamError && !err.sent;
    if (notSent) {
      if (claimId !== undefined) core.claimRegistry.markNotSent(claimId);
      core.state.markUnreachable(performance.now());
      this.slot.release();
      return refuse(
        'target-unreachable',
        'target',
        core.adapter.peer,
        String(err)
      );
    }
    if (this.callerGone.aborted) void this.cancelThenRelease();
    else this.failed();
    if (claimId !== undefined) core.claimRegistry.markSent(claimId);
    return refuse('outcome-unknown', 'target', core.adapter.peer, String(err));
  }

  private responseHeaders(response: IncomingMessage): string[] {
    const report: DispatchReport = {
      ...this.core.report(this.slot.queuedMs),
      ...endMarkOf(response),
    };
    return relayedHeaders(response.rawHeaders, {
      [REPORT_HEADER]: headerJson(report),
    });
  }

  private record(chunk: Buffer): void {
    if (
      this.claimId === undefined ||
      this.recorded.length > MAX_RECORDED_BODY_BYTES
    )
      return;
    this.recorded.append(chunk);
  }

  private onResponseComplete(response: IncomingMessage): void {
    const nowMs = performance.now();
    const {core, dispatch, startedAtMs} = this;
    if (this.claimId !== undefined)
      core.claimRegistry.markSent(this.claimId, this.answerForRecord(response));
    const outstanding = core.gate.outstanding;
    const sample = {nowMs, startedAtMs, outstanding, cost: dispatch.cost};
    // For a stream, the gaps between its tokens are recorded instead.
    if (!this.isStream) core.state.recordResponse(sample, core.warmup());
    this.slot.release(nowMs - startedAtMs);
  }

  private answerForRecord(
    response: IncomingMessage
  ): RecordedAnswer | undefined {
    if (this.recorded.length > MAX_RECORDED_BODY_BYTES) return undefined;
    return {
      status: response.statusCode ?? 502,
      headers: headerPairs(endToEndHeaders(response.rawHeaders)),
      bodyBase64: this.recorded.bytes().toString('base64'),
      ...endMarkOf(response),
    };
  }

  private failed(): void {
    const {core, claimId} = this;
    if (claimId !== undefined) core.claimRegistry.markSent(claimId);
    core.state.restartRamp(performance.now());
    core.metrics.count('gate.cold', {reason: 'connection lost'});
    this.slot.release();
  }

  /**
   * The caller disconnected before the response. Its `close` event has already
   * fired, so relaying to it would wait forever, keep the slot and leave the
   * claim running, and no resend could get the response.
   */
  private onResponseAfterCallerGone(response: IncomingMessage): Promise<void> {
    response.on('data', (chunk: Buffer) => this.record(chunk));
    return this.onCallerGone(response);
  }

  /** The caller disconnected before the end of the response. */
  private async onCallerGone(response: IncomingMessage): Promise<void> {
    if (response.complete && response.readableEnded)
      return this.onResponseComplete(response);
    this.core.metrics.count('request.cancelled');
    if (!this.dispatch.idempotent) return this.readToEnd(response);
    response.destroy();
    await this.cancelThenRelease();
  }

  /**
   * Reads the rest of the response, so that the record of the call is complete.
   */
  private readToEnd(response: IncomingMessage): void {
    response.on('data', () => undefined);
    response.on('end', () => this.onResponseComplete(response));
    response.on('error', () => this.failed());
    response.resume();
  }

  /**
   * Releases the slot after the target has responded to the cancel, since a
   * request that still runs counts against the limit. If the cancel fails or is
   * not supported, the request may still run, so the ramp restarts.
   */
  private async cancelThenRelease(): Promise<void> {
    const {core, dispatch} = this;
    try {
      const result = await core.adapter.cancel(
        dispatch,
        AbortSignal.timeout(CANCEL_TIMEOUT_MS)
      );
      if (result.kind === 'unsupported')
        core.state.restartRamp(performance.now());
    } catch (err) {
      core.logger.warn(
        {err: String(err), requestId: dispatch.requestId},
        `could not cancel a request at target ${core.targetId}; its concurrency ramp restarts`
      );
      core.state.restartRamp(performance.now());
    }
    this.slot.release();
  }
}
