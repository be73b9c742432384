/** An emulated entry: its partial view of the targets, routing and retries. */

import {requestCost, type TargetView} from '../../src/policy/balance';
import {
  NO_PROMPTS,
  promptsLeft,
  withPrompt,
} from '../../src/policy/recentPrompts';
import {RetryBudget} from '../../src/policy/retryBudget';
import {zoneWeight} from '../../src/policy/zoneReturn';
import type {Chooser} from './choosers';
import type {EventQueue} from './eventQueue';
import type {Gate, GateRefusal, Job} from './gate';
import type {Recorder} from './recorder';
import {EXPECTED_OUTPUT, type EmulatedRequest} from './workload';

/** One target as the cluster knows it. */
export interface EmulatedTarget {
  readonly targetId: string;
  readonly availabilityZone: string;
  readonly gate: Gate;
  /** Attempts on the wire towards it, from all entries. */
  inFlight: number;
}

/** A load report of a target's agent. */
export interface LoadReport {
  readonly madeAt: number;
  readonly outstanding: number;
  readonly queued: number;
  readonly limit: number;
  readonly warm: boolean;
}

/** How an entry is set up. */
export interface EntryOptions {
  readonly availabilityZone: string;
  readonly clientMs: number;
  readonly retries: boolean;
  readonly gradualReturn: boolean;
  /** Whether answers carry the load of the target, as dispatch reports do. */
  readonly answersCarryLoad: boolean;
  /** Views that are compared for one request. */
  readonly maxViews: number;
}

const LOCAL_HOP_MS = 0.3;
const REMOTE_HOP_MS = 0.8;
const MAX_ATTEMPTS = 4;
const RETRY_PERCENT = 10;
/** Silence after which an entry takes the streams of a target for lost. */
export const SILENCE_MS = 1000;
/** About the time between two tokens. */
const MEAN_STEP_MS = 22;
const FAILURE_MEMORY_MS = 5000;
const BELIEVED_PREFIXES = 40;

/** One attempt at a target. */
interface Attempt {
  /** When its first token was made. */
  firstAt: number | undefined;
  /** Ends it for good; false when it has ended before. */
  readonly end: () => boolean;
  /** The stream moved last that long ago. */
  readonly lose: (silentMs: number) => void;
}

/** What the entry keeps of one target. */
class TargetMemory {
  report: LoadReport;
  zoneOut = false;
  returnedAt: number | undefined;
  /** Silent since a loss; cleared by a newer report. */
  suspectedAt: number | undefined;
  readonly attempts = new Set<Attempt>();
  ownTokens = 0;
  sentAt: number[] = [];
  prompts = NO_PROMPTS;
  failedAt: number[] = [];
  readonly prefixes = new Map<string, true>();

  constructor(
    readonly target: EmulatedTarget,
    report: LoadReport
  ) {
    this.report = report;
  }

  take(report: LoadReport): void {
    if (report.madeAt <= this.report.madeAt) return;
    this.report = report;
    this.sentAt = this.sentAt.filter(at => at > report.madeAt);
    if (this.suspectedAt !== undefined && report.madeAt > this.suspectedAt)
      this.suspectedAt = undefined;
  }

  rememberPrefix(key: string): void {
    this.prefixes.delete(key);
    this.prefixes.set(key, true);
    if (this.prefixes.size <= BELIEVED_PREFIXES) return;
    const oldest = this.prefixes.keys().next().value;
    if (oldest !== undefined) this.prefixes.delete(oldest);
  }

  view(
    req: EmulatedRequest,
    nowMs: number,
    gradualReturn: boolean
  ): TargetView {
    const {report, target} = this;
    const {availabilityZone} = target;
    const out = this.zoneOut || this.suspectedAt !== undefined;
    const returnedAtMs = gradualReturn ? this.returnedAt : undefined;
    return {
      targetId: target.targetId,
      availabilityZone,
      temperature: report.warm ? 'warm' : 'warming',
      limit: out ? 0 : report.limit,
      reportedOutstanding: report.outstanding,
      reportedQueued: report.queued,
      reportedTokens: (report.outstanding + report.queued) * EXPECTED_OUTPUT,
      reportAgeMs: nowMs - report.madeAt,
      ownOutstanding: this.attempts.size,
      ownTokens: this.ownTokens,
      ownSinceReport: this.sentAt.length,
      ownPromptTokens: promptsLeft(this.prompts, nowMs),
      prefixTokens: this.prefixes.has(req.prefixKey) ? req.prefixTokens : 0,
      recentFailures: this.failedAt.length,
      groupStraggle: target.gate.engine.slow,
      returnWeight: zoneWeight({availabilityZone, returnedAtMs}, nowMs),
    };
  }
}

/** The state of one request across its attempts. */
interface Call {
  readonly req: EmulatedRequest;
  attempts: number;
  delivered: number;
  firstTokenAt: number | undefined;
  /** Last token before the loss, while the stream waits to go on. */
  silentSince: number | undefined;
}

/** One entry. */
export class Entry {
  private readonly budget: RetryBudget;
  private readonly memories: ReadonlyMap<string, TargetMemory>;
  private readonly list: readonly TargetMemory[];

  constructor(
    private readonly events: EventQueue,
    targets: readonly EmulatedTarget[],
    private readonly options: EntryOptions,
    private readonly chooser: Chooser,
    private readonly recorder: Recorder,
    private readonly random: () => number
  ) {
    this.list = targets.map(
      target => new TargetMemory(target, makeReport(target.gate, -1))
    );
    this.memories = new Map(this.list.map(m => [m.target.targetId, m]));
    const percent = options.retries ? RETRY_PERCENT : 0;
    this.budget = new RetryBudget({percent, minPerSecond: 1}, events.now);
  }

  report(targetId: string, report: LoadReport): void {
    this.memory(targetId).take(report);
  }

  setZoneOut(availabilityZone: string, out: boolean): void {
    for (const memory of this.list) {
      if (memory.target.availabilityZone !== availabilityZone) continue;
      memory.zoneOut = out;
      memory.returnedAt = out ? undefined : this.events.now;
    }
  }

  /** No stream of the target has moved for the silence timeout. */
  suspect(targetId: string): void {
    const memory = this.memory(targetId);
    memory.suspectedAt = this.events.now;
    for (const attempt of [...memory.attempts]) attempt.lose(SILENCE_MS);
  }

  submit(req: EmulatedRequest): void {
    this.budget.request();
    this.dispatch({
      req,
      attempts: 0,
      delivered: 0,
      firstTokenAt: undefined,
      silentSince: undefined,
    });
  }

  private dispatch(call: Call): void {
    call.attempts++;
    const view = this.choose(call.req);
    if (view === undefined) {
      this.recorder.outcome(call.req, 'refused');
      return;
    }
    this.send(call, this.memory(view.targetId));
  }

  private choose(req: EmulatedRequest): TargetView | undefined {
    const views = this.candidates().map(memory =>
      memory.view(req, this.events.now, this.options.gradualReturn)
    );
    const routed = {
      promptTokens: req.promptTokens,
      outputTokens: EXPECTED_OUTPUT,
      availabilityZone: this.options.availabilityZone,
    };
    return this.chooser(routed, views, this.random);
  }

  private candidates(): readonly TargetMemory[] {
    const {maxViews} = this.options;
    if (this.list.length <= maxViews) return this.list;
    const picked = new Set<TargetMemory>();
    while (picked.size < maxViews)
      picked.add(this.list[Math.floor(this.random() * this.list.length)]!);
    return [...picked];
  }

  private send(call: Call, memory: TargetMemory): void {
    const {req} = call;
    const {target} = memory;
    const cost = requestCost({
      promptTokens: req.promptTokens,
      outputTokens: EXPECTED_OUTPUT,
    });
    const attempt = this.track(call, memory, cost);
    memory.rememberPrefix(req.prefixKey);
    const hop = this.hopMs(target);
    target.inFlight++;
    this.events.after(hop, () => {
      target.inFlight--;
      target.gate.offer(this.job(call, memory, cost, attempt));
    });
  }

  /** Books an attempt. */
  private track(call: Call, memory: TargetMemory, cost: number): Attempt {
    const attempt: Attempt = {
      firstAt: undefined,
      end: () => {
        if (!memory.attempts.delete(attempt)) return false;
        memory.ownTokens -= cost;
        return true;
      },
      lose: silentMs => {
        if (!attempt.end()) return;
        this.keepDelivered(call, attempt, silentMs);
        this.lost(call, memory);
      },
    };
    memory.attempts.add(attempt);
    memory.ownTokens += cost;
    memory.sentAt.push(this.events.now);
    const {promptTokens} = call.req;
    memory.prompts = withPrompt(memory.prompts, promptTokens, this.events.now);
    return attempt;
  }

  private job(
    call: Call,
    memory: TargetMemory,
    cost: number,
    attempt: Attempt
  ): Job {
    const {req} = call;
    const hop = this.hopMs(memory.target);
    const back = (action: () => void) => this.events.after(hop, action);
    return {
      id: `${req.id}.${call.attempts}`,
      req,
      cost,
      delivered: call.delivered,
      onFirstToken: () => {
        attempt.firstAt = this.events.now;
        back(() => this.firstToken(call, memory));
      },
      onDone: () => back(() => attempt.end() && this.done(call, memory)),
      onLost: () => back(() => attempt.lose(hop)),
      onRefused: reason =>
        back(() => attempt.end() && this.refused(call, memory, reason)),
    };
  }

  /** The tokens that reached the caller before the loss stay delivered. */
  private keepDelivered(
    call: Call,
    {firstAt}: Attempt,
    silentMs: number
  ): void {
    if (firstAt === undefined) return;
    const lastAt = Math.max(firstAt, this.events.now - silentMs);
    const tokens = 1 + Math.floor((lastAt - firstAt) / MEAN_STEP_MS);
    const most = call.req.outputTokens - 1;
    call.delivered = Math.min(most, call.delivered + tokens);
    call.silentSince ??= lastAt;
  }

  private firstToken(call: Call, memory: TargetMemory): void {
    this.learn(memory);
    if (call.silentSince !== undefined) {
      const gap = this.events.now - call.silentSince;
      this.recorder.resumeGap(this.events.now, gap);
      call.silentSince = undefined;
    }
    if (call.firstTokenAt !== undefined) return;
    call.firstTokenAt = this.events.now;
    const latency = this.events.now - call.req.arrivedAt;
    this.recorder.firstToken(call.req, latency + 2 * this.options.clientMs);
  }

  private done(call: Call, memory: TargetMemory): void {
    this.learn(memory);
    const {req} = call;
    const firstAt = call.firstTokenAt ?? this.events.now;
    this.recorder.completion(req, this.events.now - firstAt);
    const late = this.events.now > req.deadlineAt;
    this.recorder.outcome(req, late ? 'late' : 'answered');
  }

  private lost(call: Call, memory: TargetMemory): void {
    const {now} = this.events;
    memory.failedAt.push(now);
    this.events.after(FAILURE_MEMORY_MS, () => memory.failedAt.shift());
    if (this.mayRepeat(call)) this.dispatch(call);
    else this.recorder.outcome(call.req, 'failed');
  }

  private refused(call: Call, memory: TargetMemory, reason: GateRefusal): void {
    if (reason === 'zone-out') memory.zoneOut = true;
    const elsewhere =
      reason !== 'customer-limit' && reason !== 'deadline-passed';
    if (elsewhere && this.mayRepeat(call)) this.dispatch(call);
    else this.recorder.outcome(call.req, 'refused');
  }

  private mayRepeat(call: Call): boolean {
    if (!this.options.retries || call.attempts >= MAX_ATTEMPTS) return false;
    return this.budget.tryReplace(this.events.now);
  }

  private learn(memory: TargetMemory): void {
    if (!this.options.answersCarryLoad) return;
    const hop = this.hopMs(memory.target);
    memory.take(makeReport(memory.target.gate, this.events.now - hop));
  }

  private hopMs(target: EmulatedTarget): number {
    return target.availabilityZone === this.options.availabilityZone
      ? LOCAL_HOP_MS
      : REMOTE_HOP_MS;
  }

  private memory(targetId: string): TargetMemory {
    const memory = this.memories.get(targetId);
    if (memory === undefined) throw new Error(`no target ${targetId}`);
    return memory;
  }
}

/** The load of a target as its agent reports it. */
export function makeReport(gate: Gate, madeAt: number): LoadReport {
  return {
    madeAt,
    outstanding: gate.outstanding,
    queued: gate.queued,
    limit: gate.limit,
    warm: gate.isWarm,
  };
}
