/** Sends a request to targets until one responds or no more attempts are allowed. */

import type {IncomingMessage} from 'node:http';
import {framingOf} from '../core/bodyFraming';
import {unreachable} from '../core/errors';
import type {RecordedAttempt} from '../core/executionRecord';
import type {GatewayRefusal} from '../ports/callerPort';
import type {TargetRecord} from '../site/announcement';
import {groupNameOf} from '../site/groupStatus';
import type {AttemptEnd, ResponseTrace} from './attemptEnd';
import {callTarget} from './callTarget';
import {closeOnCancel} from './closeOnCancel';
import {CallerStream} from './callerStream';
import type {Gateway} from './gateway';
import {headTimeoutMs, isRetrySafe} from './retryRules';
import {logAttempt} from './logAttempt';
import {readResponseBody} from './readResponseBody';
import {relayLargeBody} from './relayLargeBody';
import {relayEvents} from './relayEvents';
import {isQuarantined, QUARANTINE_RETRY_MS} from './quarantineRefusal';
import {recordLength} from './recordLength';
import {RelayableHead, isResponseTo} from './relayableHead';
import {RequestExposure} from './requestExposure';
import type {RequestState, RoutedRequest} from './requestState';
import {stopRefusal} from './stopRefusal';
import {TargetSelection} from './targetSelection';
import {unservedRefusal} from './unservedRefusal';
import type {WholeResponse} from './wholeResponse';
import {writeWholeResponse} from './wholeResponse';

/**
 * Runs all attempts. Returns undefined if the response was written or the
 * connection closed; otherwise the refusal that is still to be sent.
 */
export async function runAttempts(
  gateway: Gateway,
  state: RequestState,
  routed: RoutedRequest
): Promise<GatewayRefusal | undefined> {
  const loop = new AttemptLoop(gateway, state, routed);
  return loop.run();
}

class AttemptLoop {
  private readonly stream: CallerStream;
  private readonly targets: TargetSelection;
  private sendCount = 0;
  private lastErrorResponse: WholeResponse | undefined;
  /** Head of an empty stream that may be whole. */
  private emptyStreamHead: RelayableHead | undefined;
  private trace: ResponseTrace = {eventCount: 0};
  /** Of the present attempt, as `trace` is. */
  private exposure: RequestExposure | undefined;
  /** Whether the request may have crashed the last target, and may crash the next. */
  private exposesNextTarget = false;

  constructor(
    private readonly gateway: Gateway,
    private readonly state: RequestState,
    private readonly routed: RoutedRequest
  ) {
    this.stream = new CallerStream(state.res);
    this.targets = new TargetSelection(gateway, state, routed);
  }

  async run(): Promise<GatewayRefusal | undefined> {
    for (;;) {
      const target = await this.targets.next();
      if (target === undefined) return this.endUnsuccessfully();
      if (isQuarantined(this.gateway, this.state, this.routed))
        return this.endQuarantined();
      const end = await this.attempt(target);
      switch (end.kind) {
        case 'answered':
        case 'cut':
          return undefined;
        case 'stopped':
          return this.endStopped();
        case 'notRun':
          if (!end.wasSent) continue;
          break;
        case 'failed':
          this.lastErrorResponse = end.answer;
          break;
        case 'lost':
          if (this.exposesNextTarget) return this.endUnsuccessfully();
          break;
        default:
          return unreachable(end);
      }
      if (!this.mayRetry()) return this.endUnsuccessfully();
    }
  }

  /** Whether another attempt may follow the last one. */
  private mayRetry(): boolean {
    const {state, routed, gateway} = this;
    if (state.mayHaveRun && !isRetrySafe(routed.route)) return false;
    if (this.sendCount >= routed.route.maxAttempts) return false;
    if (state.stopped !== undefined) return false;
    const nodes = gateway.view?.activeNodes ?? 1;
    const {retryBudget} = gateway.pool(routed.service.name);
    return retryBudget.tryRetry(performance.now(), nodes);
  }

  /**
   * Ends the request after its last attempt: aborts a stream that has begun,
   * relays the last error response, or returns a refusal.
   */
  private endUnsuccessfully(): GatewayRefusal | undefined {
    const {state, stream, lastErrorResponse} = this;
    if (state.stopped !== undefined) return this.endStopped();
    if (stream.hasBegun) {
      stream.abort();
      return undefined;
    }
    if (lastErrorResponse !== undefined) {
      writeWholeResponse(state.res, lastErrorResponse);
      return undefined;
    }
    if (this.emptyStreamHead !== undefined) {
      stream.end(this.emptyStreamHead);
      return undefined;
    }
    return unservedRefusal(state, this.sendCount, this.targets);
  }

  /** Ends a request that was found to crash targets meanwhile. */
  private endQuarantined(): GatewayRefusal | undefined {
    return this.state.mayHaveRun
      ? this.endUnsuccessfully()
      : {kind: 'quarantined', retryInMs: QUARANTINE_RETRY_MS};
  }

  private endStopped(): GatewayRefusal | undefined {
    if (!this.stream.hasBegun) return stopRefusal(this.state);
    this.stream.abort();
    return undefined;
  }

  private async attempt(target: TargetRecord): Promise<AttemptEnd> {
    const {state, routed, gateway} = this;
    const pool = gateway.pool(routed.service.name);
    const startedAtMs = performance.now();
    this.trace = {eventCount: 0};
    state.tried.add(target.id);
    pool.begin(target.id, startedAtMs);
    gateway.pushback?.noteRequest(target, startedAtMs);
    const {caller, requestTry: request} = state;
    const evidence = {parts: caller.sharedParts, request};
    const exposure = new RequestExposure(gateway, target, evidence);
    this.exposure = exposure;
    try {
      const end = await this.send(target, startedAtMs);
      const {trace, stream} = this;
      const tookMs = performance.now() - startedAtMs;
      const {lastEventId} = stream;
      logAttempt(gateway, state, routed, {
        targetId: target.id,
        end,
        trace,
        tookMs,
        lastEventId,
        sendCount: this.sendCount,
      });
      this.exposesNextTarget = await exposure.noteEnd(end, trace);
      return end;
    } finally {
      exposure.end();
      pool.done(target.id);
    }
  }

  private async send(
    target: TargetRecord,
    startedAtMs: number
  ): Promise<AttemptEnd> {
    const {state, routed, gateway, stream} = this;
    const {req, cancellation, remainingMs} = state;
    const pool = gateway.pool(routed.service.name);
    const execution = state.execution.begin();
    const outcome = await callTarget({
      address: target.address,
      method: req.method ?? 'GET',
      url: req.url ?? '/',
      headers: gateway.parts.targets.forwardHeaders(req.rawHeaders, {
        remainingMs,
        targetId: target.id,
        customer: routed.customer?.name,
        lastEventId: stream.lastEventId,
        urgency: routed.urgencyRank,
      }),
      body: routed.body,
      cancelSignal: cancellation,
      headTimeoutMs: headTimeoutMs(routed.route, this.sendCount, remainingMs),
    });
    const nowMs = performance.now();
    if (outcome.kind === 'unsent') {
      execution.provenNotRun();
      if (state.stopped !== undefined) return {kind: 'stopped'};
      pool.noteAttempt(target.id, {kind: 'unreachable'}, nowMs);
      return {kind: 'notRun', wasSent: false, reason: outcome.reason};
    }
    this.countSend(nowMs);
    switch (outcome.kind) {
      case 'cancelled':
        return {kind: 'stopped'};
      case 'lost':
        pool.noteAttempt(target.id, {kind: 'failed'}, nowMs);
        return {kind: 'lost', reason: outcome.reason};
      case 'answered':
        this.trace.framing = framingOf(outcome.res);
        this.trace.connection = outcome.connection;
        return this.handleResponse(target, execution, outcome.res, startedAtMs);
      default:
        return unreachable(outcome);
    }
  }

  private countSend(nowMs: number): void {
    this.sendCount++;
    const {retryBudget} = this.gateway.pool(this.routed.service.name);
    if (this.sendCount === 1) retryBudget.recordRequest(nowMs);
  }

  private async handleResponse(
    target: TargetRecord,
    execution: RecordedAttempt,
    res: IncomingMessage,
    startedAtMs: number
  ): Promise<AttemptEnd> {
    const {gateway, state, routed} = this;
    const pool = gateway.pool(routed.service.name);
    const {targets} = gateway.parts;
    if (isResponseTo(targets.readHead(res), state)) {
      const response = {res, sentAtMs: startedAtMs};
      gateway.pushback?.noteResponse(target, response, performance.now());
    }
    const checked = RelayableHead.check(res, targets, state);
    switch (checked.kind) {
      case 'notRun':
        execution.provenNotRun();
        pool.noteAttempt(target.id, {kind: 'full'}, performance.now());
        res.destroy();
        return {kind: 'notRun', wasSent: true, reason: 'rejected'};
      case 'rejected':
        pool.noteAttempt(target.id, {kind: 'failed'}, performance.now());
        res.destroy();
        return {kind: 'lost', reason: checked.reason};
      case 'relayable': {
        const {head} = checked;
        if (this.stream.hasBegun && !head.isSuccess) {
          // The caller already has a success, which a failure can't continue.
          res.destroy();
          return {
            kind: 'lost',
            reason: `status ${head.status} to a resumption`,
          };
        }
        return head.isStream && !head.isServerError
          ? this.relayStream(target, res, head, startedAtMs)
          : this.relayWhole(target, res, head, startedAtMs);
      }
      default:
        return unreachable(checked);
    }
  }

  private async relayWhole(
    target: TargetRecord,
    res: IncomingMessage,
    head: RelayableHead,
    startedAtMs: number
  ): Promise<AttemptEnd> {
    const {gateway, state, routed, stream} = this;
    const pool = gateway.pool(routed.service.name);
    const held = gateway.heldBytes.open();
    state.releaseAtEnd(held);
    const release = closeOnCancel(state.cancellation, res);
    const read = await readResponseBody(res, held);
    release();
    if (state.stopped !== undefined) return {kind: 'stopped'};
    const nowMs = performance.now();
    const latencyMs = nowMs - startedAtMs;
    if (read.kind === 'large' && head.isSuccess && !stream.hasBegun) {
      held.release();
      const {begun} = read;
      const {id: targetId} = target;
      const large = {res, head, begun, targetId, latencyMs};
      return relayLargeBody(state, pool, large);
    }
    const isWhole = read.kind === 'whole';
    const isGood = isWhole && !head.isServerError;
    pool.noteAttempt(
      target.id,
      isGood ? {kind: 'good', latencyMs} : {kind: 'failed'},
      nowMs
    );
    if (!isWhole) {
      held.release();
      res.destroy();
      const reason =
        read.kind === 'large' ? 'body over the bound' : 'incomplete body';
      return {kind: 'lost', reason};
    }
    const response = {head, body: read.body};
    if (!isGood) return {kind: 'failed', answer: response};
    // The caller already has the beginning of a stream.
    if (stream.hasBegun) return {kind: 'lost', reason: 'not a stream'};
    writeWholeResponse(state.res, response);
    return {kind: 'answered'};
  }

  private async relayStream(
    target: TargetRecord,
    res: IncomingMessage,
    head: RelayableHead,
    startedAtMs: number
  ): Promise<AttemptEnd> {
    const {gateway, state, routed, stream} = this;
    const pool = gateway.pool(routed.service.name);
    const {passDuration, stallWatch} = pool.streams.forGroup(
      groupNameOf(target)
    );
    const release = closeOnCancel(state.cancellation, res);
    let hasBegun = false;
    const end = await relayEvents(res, head, stream, state.cancellation, {
      onFirstEvent: () => {
        const nowMs = performance.now();
        stallWatch.streamStarted();
        hasBegun = true;
        const latencyMs = nowMs - startedAtMs;
        pool.noteAttempt(target.id, {kind: 'good', latencyMs}, nowMs);
        if (state.marks.firstEventMs === 0)
          state.marks.firstEventMs = state.ageMs;
      },
      onEvent: nowMs => {
        state.eventCount++;
        this.trace.eventCount++;
        stallWatch.noteEvent(nowMs);
        this.exposure?.noteEvent(nowMs);
      },
      onGap: ms => {
        passDuration.recordPause(ms, performance.now());
        state.marks.longestGapMs = Math.max(state.marks.longestGapMs, ms);
      },
      onCallerWait: () => stallWatch.streamPaused(),
      onCallerReady: nowMs => stallWatch.streamResumed(nowMs),
    });
    if (hasBegun) stallWatch.streamEnded();
    release();
    if (state.stopped !== undefined) return {kind: 'stopped'};
    switch (end.kind) {
      case 'complete':
        stream.end(head);
        recordLength(gateway, state, routed);
        return {kind: 'answered'};
      case 'unmarked':
        return this.endUnmarked(target, head);
      case 'broken':
        pool.noteAttempt(target.id, {kind: 'failed'}, performance.now());
        return {kind: 'lost', reason: end.reason};
      default:
        return unreachable(end);
    }
  }

  /**
   * Ends a stream that may or may not be whole. The caller gets the same unmarked end
   * if its response allows that, and if any event arrived.
   */
  private endUnmarked(target: TargetRecord, head: RelayableHead): AttemptEnd {
    const {gateway, state, routed, stream, trace} = this;
    trace.endUnmarked = true;
    if (trace.eventCount > 0 && !stream.isEndMarked) {
      stream.end(head);
      return {kind: 'answered'};
    }
    if (trace.eventCount === 0) {
      // The caller may already have the last event.
      if (state.caller.lastEventId !== undefined) this.emptyStreamHead = head;
      const pool = gateway.pool(routed.service.name);
      pool.noteAttempt(target.id, {kind: 'failed'}, performance.now());
    }
    return {kind: 'lost', reason: 'nothing marks the end of the stream'};
  }
}
