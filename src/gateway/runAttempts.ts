/** Sends a request to targets until one has answered or nothing more may be tried. */

import type {IncomingMessage} from 'node:http';
import {unreachable} from '../core/errors';
import {outageRetryMs} from '../policy/outageRetry';
import type {GatewayRefusal} from '../ports/callerPort';
import type {TargetHead} from '../ports/targetPort';
import type {TargetRecord} from '../site/announcement';
import {groupNameOf} from '../site/groupOpenings';
import {callTarget} from './callTarget';
import {CallerStream} from './callerStream';
import type {Gateway} from './gateway';
import {readAnswer} from './readAnswer';
import {relayEvents} from './relayEvents';
import type {RequestState, Routed} from './requestState';
import {rounded} from '../core/rounded';
import {stopRefusal} from './stopRefusal';

/** What an attempt left behind, and what may follow. */
type AttemptEnd =
  /** The caller has its answer, or has seen that there will be none. */
  | {readonly kind: 'answered'}
  /** The target has surely not run it. */
  | {readonly kind: 'notRun'; readonly wasSent: boolean}
  /** It may have run; the answer did not come whole. */
  | {readonly kind: 'lost'}
  /** The target failed it and said so; the answer may be passed on. */
  | {readonly kind: 'failed'; readonly answer: WholeAnswer}
  | {readonly kind: 'stopped'};

interface WholeAnswer {
  readonly status: number;
  /** Raw list. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Whether the target told its length or where it ends. */
  readonly isFramed: boolean;
}

/** A target that fell out is known to all within a second. */
const NO_TARGET_RETRY_MS = 400;
/** A full queue of a target moves within a few passes. */
const TURNED_AWAY_RETRY_MS = 300;
/**
 * An idempotent call that takes so many times its latency target is sent to
 * another target: the first one hangs, or its answer was lost.
 */
const GIVE_UP_FACTOR = 3;
const FIRST_SERVER_ERROR = 500;

/** Runs until there is an answer; a refusal is the caller's to answer. */
export async function runAttempts(
  gateway: Gateway,
  state: RequestState,
  routed: Routed
): Promise<GatewayRefusal | undefined> {
  const run = new AttemptRun(gateway, state, routed);
  return run.toEnd();
}

class AttemptRun {
  private readonly stream: CallerStream;
  private sends = 0;
  private lastAnswer: WholeAnswer | undefined;

  constructor(
    private readonly gateway: Gateway,
    private readonly state: RequestState,
    private readonly routed: Routed
  ) {
    this.stream = new CallerStream(state.res);
  }

  async toEnd(): Promise<GatewayRefusal | undefined> {
    for (;;) {
      const target = this.chooseTarget();
      if (target === undefined) return this.giveUp();
      const end = await this.attempt(target);
      switch (end.kind) {
        case 'answered':
          return undefined;
        case 'stopped':
          return this.endStopped();
        case 'notRun':
          if (!end.wasSent) continue;
          break;
        case 'failed':
          this.lastAnswer = end.answer;
          this.state.mayHaveRun = true;
          break;
        case 'lost':
          this.state.mayHaveRun = true;
          break;
        default:
          return unreachable(end);
      }
      if (!this.mayTryAgain()) return this.giveUp();
    }
  }

  private get isRepeatable(): boolean {
    const {repeat, resumable} = this.routed.route;
    return repeat === 'idempotent' || (repeat === 'stream' && resumable);
  }

  /** Whether the last send may be followed by another. */
  private mayTryAgain(): boolean {
    const {state, routed, gateway} = this;
    if (state.mayHaveRun && !this.isRepeatable) return false;
    if (this.sends >= routed.route.maxAttempts) return false;
    if (state.stopped !== undefined) return false;
    const nodes = gateway.view?.activeNodes ?? 1;
    const {budget} = gateway.pool(routed.service.name);
    return budget.tryRepeat(performance.now(), nodes);
  }

  private chooseTarget(): TargetRecord | undefined {
    const {gateway, state, routed} = this;
    const {view} = gateway;
    if (view === undefined || state.stopped !== undefined) return undefined;
    const pool = gateway.pool(routed.service.name);
    return pool.choose(gateway.choiceInput(routed.service, view, state.tried));
  }

  /** Nothing more is tried: what the caller is told. */
  private giveUp(): GatewayRefusal | undefined {
    const {state, stream, lastAnswer} = this;
    if (state.stopped !== undefined) return this.endStopped();
    if (stream.hasBegun) {
      stream.cut();
      return undefined;
    }
    if (lastAnswer !== undefined) {
      this.answerWith(lastAnswer);
      return undefined;
    }
    if (state.mayHaveRun) return {kind: 'outcomeUnknown'};
    return this.sends > 0
      ? {kind: 'turnedAway', retryInMs: this.retryInMs(TURNED_AWAY_RETRY_MS)}
      : {kind: 'noTarget', retryInMs: this.retryInMs(NO_TARGET_RETRY_MS)};
  }

  /** Later where no target of the service works at all. */
  private retryInMs(usualMs: number): number {
    const {gateway, state, routed} = this;
    const {view} = gateway;
    if (view === undefined) return usualMs;
    const input = gateway.choiceInput(routed.service, view, state.tried);
    return gateway.pool(routed.service.name).isOut(input)
      ? outageRetryMs(state.remainingMs, Math.random)
      : usualMs;
  }

  private endStopped(): GatewayRefusal | undefined {
    if (!this.stream.hasBegun) return stopRefusal(this.state);
    this.stream.cut();
    return undefined;
  }

  private async attempt(target: TargetRecord): Promise<AttemptEnd> {
    const {state, routed, gateway} = this;
    const pool = gateway.pool(routed.service.name);
    const startedAtMs = performance.now();
    state.tried.add(target.id);
    pool.begin(target.id, startedAtMs);
    try {
      const end = await this.send(target, startedAtMs);
      this.log(target, end, performance.now() - startedAtMs);
      return end;
    } finally {
      pool.done(target.id);
    }
  }

  private async send(
    target: TargetRecord,
    startedAtMs: number
  ): Promise<AttemptEnd> {
    const {state, routed, gateway, stream} = this;
    const {req, cancel, remainingMs} = state;
    const pool = gateway.pool(routed.service.name);
    const outcome = await callTarget({
      address: target.address,
      method: req.method ?? 'GET',
      url: req.url ?? '/',
      headers: gateway.parts.targets.forwardHeaders(req.rawHeaders, {
        remainingMs,
        targetId: target.id,
        customer: routed.customer?.name,
        lastEventId: stream.lastEventId,
      }),
      body: routed.body,
      cancel,
      headTimeoutMs: this.headTimeoutMs(),
    });
    const nowMs = performance.now();
    if (outcome.kind === 'unsent') {
      if (state.stopped !== undefined) return {kind: 'stopped'};
      pool.note(target.id, {kind: 'unreachable'}, nowMs);
      return {kind: 'notRun', wasSent: false};
    }
    this.countSend(nowMs);
    switch (outcome.kind) {
      case 'cancelled':
        // Whatever was on its way may run: nothing proves the contrary.
        state.mayHaveRun = true;
        return {kind: 'stopped'};
      case 'lost':
        pool.note(target.id, {kind: 'failed'}, nowMs);
        return {kind: 'lost'};
      case 'answered':
        return this.takeAnswer(target, outcome.res, startedAtMs);
      default:
        return unreachable(outcome);
    }
  }

  private countSend(nowMs: number): void {
    this.sends++;
    const {budget} = this.gateway.pool(this.routed.service.name);
    if (this.sends === 1) budget.request(nowMs);
  }

  /** Only a call that may be sent again is given up before its time is over. */
  private headTimeoutMs(): number {
    const {route} = this.routed;
    const {remainingMs} = this.state;
    const isLast = this.sends + 1 >= route.maxAttempts;
    if (route.repeat !== 'idempotent' || isLast || route.latencyTargetMs === 0)
      return remainingMs;
    return Math.min(remainingMs, route.latencyTargetMs * GIVE_UP_FACTOR);
  }

  private async takeAnswer(
    target: TargetRecord,
    res: IncomingMessage,
    startedAtMs: number
  ): Promise<AttemptEnd> {
    const {gateway, state, routed} = this;
    const pool = gateway.pool(routed.service.name);
    const head = gateway.parts.targets.readHead(res);
    if (head.notRun) {
      pool.note(target.id, {kind: 'full'}, performance.now());
      res.destroy();
      return {kind: 'notRun', wasSent: true};
    }
    if (!isForThis(head, state)) {
      pool.note(target.id, {kind: 'failed'}, performance.now());
      res.destroy();
      return {kind: 'lost'};
    }
    if (head.isStream && head.status < FIRST_SERVER_ERROR)
      return this.relayStream(target, res, head, startedAtMs);
    return this.relayWhole(target, res, head, startedAtMs);
  }

  private async relayWhole(
    target: TargetRecord,
    res: IncomingMessage,
    head: TargetHead,
    startedAtMs: number
  ): Promise<AttemptEnd> {
    const {gateway, state, routed, stream} = this;
    const pool = gateway.pool(routed.service.name);
    const body = await this.readOrStop(res);
    if (state.stopped !== undefined) {
      state.mayHaveRun = true;
      return {kind: 'stopped'};
    }
    const nowMs = performance.now();
    const isWhole = body !== undefined;
    const isGood = isWhole && head.status < FIRST_SERVER_ERROR;
    const latencyMs = nowMs - startedAtMs;
    pool.note(
      target.id,
      isGood ? {kind: 'good', latencyMs} : {kind: 'failed'},
      nowMs
    );
    if (!isWhole) return {kind: 'lost'};
    const headers = gateway.parts.targets.answerHeaders(res);
    const {status} = head;
    const answer = {status, headers, body, isFramed: isFramed(res)};
    if (!isGood) return {kind: 'failed', answer};
    // A stream that has begun cannot turn into another kind of answer.
    if (stream.hasBegun) return {kind: 'lost'};
    this.answerWith(answer);
    return {kind: 'answered'};
  }

  private async readOrStop(res: IncomingMessage): Promise<Buffer | undefined> {
    const {cancel} = this.state;
    const stop = () => res.destroy();
    cancel.addEventListener('abort', stop);
    const body = await readAnswer(res);
    cancel.removeEventListener('abort', stop);
    return body;
  }

  private answerWith({status, headers, body, isFramed}: WholeAnswer): void {
    const {res} = this.state;
    if (res.destroyed) return;
    // Without a length of its own the answer may have been cut off by the
    // target's end; a length of ours would state that it is whole.
    if (!isFramed) {
      res.useChunkedEncodingByDefault = false;
      res.shouldKeepAlive = false;
    }
    res.writeHead(status, [...headers]);
    res.end(body);
  }

  private async relayStream(
    target: TargetRecord,
    res: IncomingMessage,
    head: TargetHead,
    startedAtMs: number
  ): Promise<AttemptEnd> {
    const {gateway, state, routed, stream} = this;
    const pool = gateway.pool(routed.service.name);
    const {pace, stalls} = pool.streams.of(groupNameOf(target));
    const {cancel} = state;
    const stop = () => res.destroy();
    cancel.addEventListener('abort', stop);
    const callerHead = {
      status: head.status,
      headers: gateway.parts.targets.answerHeaders(res),
    };
    let hasBegun = false;
    const end = await relayEvents(res, callerHead, stream, {
      onFirstEvent: () => {
        const nowMs = performance.now();
        stalls.opened();
        hasBegun = true;
        const latencyMs = nowMs - startedAtMs;
        pool.note(target.id, {kind: 'good', latencyMs}, nowMs);
        if (state.marks.firstEventMs === 0)
          state.marks.firstEventMs = state.ageMs;
      },
      onEvent: nowMs => stalls.noteEvent(nowMs),
      onGap: ms => {
        pace.note(ms, performance.now());
        state.marks.longestGapMs = Math.max(state.marks.longestGapMs, ms);
      },
    });
    if (hasBegun) stalls.closed();
    cancel.removeEventListener('abort', stop);
    if (state.stopped !== undefined) {
      state.mayHaveRun = true;
      return {kind: 'stopped'};
    }
    if (end.kind === 'complete') {
      stream.end(callerHead);
      return {kind: 'answered'};
    }
    pool.note(target.id, {kind: 'failed'}, performance.now());
    return {kind: 'lost'};
  }

  private log(target: TargetRecord, end: AttemptEnd, tookMs: number): void {
    const {attemptId} = this.state.caller;
    const {logger, metrics} = this.gateway.parts;
    const {name} = this.routed.service;
    metrics.attempted(name, end.kind, tookMs);
    if (end.kind === 'answered') metrics.answered(name, this.state.marks);
    logger.info(
      {
        event: 'request.attempt',
        attemptId,
        service: name,
        target: target.id,
        end: end.kind,
        tookMs: Math.round(tookMs),
        ...rounded(this.state.marks),
        lastEventId: this.stream.lastEventId,
      },
      end.kind
    );
  }
}

/** A late answer to another request must not pass for this one's. */
function isForThis(head: TargetHead, {caller}: RequestState): boolean {
  if (!head.isPlainBody) return false;
  if (caller.attemptId === undefined) return true;
  return head.attemptId === caller.attemptId;
}

function isFramed({headers}: IncomingMessage): boolean {
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}
