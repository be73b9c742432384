/** State of one service at one gateway: admission, target choice and load. */

import type {ServiceGrant, ServiceLoad} from '../cluster/messages';
import type {TargetPushback} from '../cluster/targetPushback';
import type {PoolGauge} from '../core/nodeMetrics';
import type {TargetRecord} from '../site/announcement';
import {groupNameOf, groupStatuses, isInOpenGroup} from '../site/groupStatus';
import type {SiteService} from '../site/site';
import {AdmissionQueue} from '../policy/admission/admissionQueue';
import {coldRateLimit} from '../policy/coldRate';
import {RateWindow} from '../policy/rateWindow';
import {LengthEstimate} from '../policy/admission/lengthEstimate';
import {NodeAdmission} from '../policy/admission/nodeAdmission';
import {RetryTiming} from '../policy/admission/retryTiming';
import type {TargetOption} from '../policy/permitTargetChoice';
import {chooseTargetByPermits} from '../policy/permitTargetChoice';
import type {AttemptResult} from '../policy/targetHealth';
import {TargetHealth} from '../policy/targetHealth';
import type {SlidingRetryLimits} from '../policy/slidingRetryBudget';
import {SlidingRetryBudget} from '../policy/slidingRetryBudget';
import {StreamsByGroup} from './groupStreams';

/** Concurrency limit until the first grant from a leader. */
const INITIAL_CONCURRENCY = 2;

/** Limits of the deployment that each pool enforces. */
export interface PoolBounds {
  /** Unique among all nodes. */
  readonly nodeId: string;
  readonly retries: SlidingRetryLimits;
  /** Factor in the rate limit of a cold target: configured rate * factor + slack. */
  readonly coldMultiplier: number;
  /** Constant term of a cold target's rate limit, requests per second. */
  readonly coldSlack: number;
}

/** Inputs of a target choice beside the state of the pool. */
export interface ChoiceInput {
  readonly service: SiteService;
  readonly records: readonly TargetRecord[];
  readonly zonesOut: ReadonlySet<string>;
  readonly ownZone: string;
  readonly activeNodes: number;
  /** Undefined until the cluster node has started. */
  readonly pushback: TargetPushback | undefined;
  /** Targets that this request was already sent to. */
  readonly tried: ReadonlySet<string>;
  readonly nowMs: number;
  /** Returns 0 up to but excluding 1. */
  random(): number;
}

/** The target of an attempt, or why there is none. */
export type TargetChoice =
  | {readonly kind: 'target'; readonly target: TargetRecord}
  /** Only targets with a rate limit could take it; `target` would be the first. */
  | {readonly kind: 'needsToken'; readonly target: TargetRecord}
  /** All targets that could take it asked for rest; `waitMs` is the shortest. */
  | {readonly kind: 'atRest'; readonly waitMs: number}
  | {readonly kind: 'none'};

/** Admission, health and load of one service at one gateway. */
export class ServicePool {
  readonly queue = new AdmissionQueue();
  readonly retryBudget: SlidingRetryBudget;
  readonly streams = new StreamsByGroup();
  readonly retryTiming = new RetryTiming();
  /** Unused unless the service is prioritized. */
  readonly admission: NodeAdmission;
  /** Length corrections by route; only for prioritized services. */
  readonly lengths = new LengthEstimate();
  private readonly health = new Map<string, TargetHealth>();
  private readonly rateWindows = new Map<string, RateWindow>();
  private readonly ownInFlight = new Map<string, number>();
  private permits: Readonly<Record<string, number>> = {};
  private arrivals = 0;
  private lastBoundBy: string | undefined;

  constructor(
    private readonly service: string,
    private readonly bounds: PoolBounds,
    random: () => number = Math.random
  ) {
    this.admission = new NodeAdmission(random);
    this.retryBudget = new SlidingRetryBudget(bounds.retries);
    this.queue.setLimit(INITIAL_CONCURRENCY);
  }

  /** Applies the leader's grant, which counts as fresh for `freshForMs`. */
  applyGrant(
    grant: ServiceGrant,
    freshForMs: number,
    grantedAtMs: number
  ): void {
    const {concurrency, free, permits} = grant;
    this.lastBoundBy = grant.boundBy;
    this.permits = permits ?? this.permits;
    this.queue.setLimit(concurrency, free);
    this.admission.applyGrant(grant.admission ?? [], freshForMs, grantedAtMs);
  }

  /** What limits the concurrency of the service, from the last grant. */
  get boundBy(): string | undefined {
    return this.lastBoundBy;
  }

  noteArrival(): void {
    this.arrivals++;
  }

  noteAttempt(targetId: string, sign: AttemptResult, nowMs: number): void {
    this.healthOf(targetId).note(sign, nowMs);
  }

  /** Counts a request in flight at the target until `done` is called. */
  begin(targetId: string, nowMs: number): void {
    this.ownInFlight.set(targetId, (this.ownInFlight.get(targetId) ?? 0) + 1);
    this.rateWindowOf(targetId).add(nowMs);
  }

  done(targetId: string): void {
    const left = (this.ownInFlight.get(targetId) ?? 1) - 1;
    if (left > 0) this.ownInFlight.set(targetId, left);
    else this.ownInFlight.delete(targetId);
  }

  /** Load for the report to the leader; resets the counts of arrivals. */
  takeLoad(isPrioritized: boolean): ServiceLoad {
    const {arrivals} = this;
    this.arrivals = 0;
    const urgencyLoad = this.takeUrgencyLoad();
    return {
      service: this.service,
      inFlight: this.queue.inFlight,
      waiting: this.queue.waitingCount,
      arrivals,
      byTarget: Object.fromEntries(this.ownInFlight),
      pacesMs: this.streams.pacesMs(performance.now()),
      ...(isPrioritized ? urgencyLoad : {}),
    };
  }

  private takeUrgencyLoad(): Partial<ServiceLoad> {
    return {
      demand: [...this.admission.takeDemand()],
      waitingByUrgency: this.queue.waitingByUrgency(),
      serviceTimeMs: this.queue.measuredServiceTimeMs,
    };
  }

  /** Pass duration of a group; 0 when no stream runs. */
  passDurationMs(group: string, nowMs: number): number {
    return this.streams.passDurationMs(group, nowMs);
  }

  gauge(): PoolGauge {
    return {
      service: this.service,
      places: this.queue.concurrencyLimit,
      inFlight: this.queue.inFlight,
      waiting: this.queue.waitingCount,
      admissionRatios: this.admission.ratios(performance.now()),
      passMs: Math.max(
        0,
        ...Object.values(this.streams.pacesMs(performance.now()))
      ),
    };
  }

  /**
   * Targets that may receive requests, whatever their load: ready, not leaving, in
   * a zone that is in service, in an open group, and not stalled.
   */
  usableTargets(input: ChoiceInput): readonly TargetRecord[] {
    const openings = groupStatuses(input.records);
    return input.records.filter(
      record =>
        record.service === this.service &&
        record.state === 'ready' &&
        isInOpenGroup(record, openings) &&
        input.pushback?.isLeaving(record) !== true &&
        !input.zonesOut.has(record.availabilityZone) &&
        !this.streams.isStalled(groupNameOf(record), input.nowMs)
    );
  }

  /** Whether the streams of this node show that all groups are stalled. */
  isStalled(nowMs: number): boolean {
    return this.streams.areAllGroupsStalled(nowMs);
  }

  /** Whether the service has no usable target at all. */
  hasNoUsableTarget(input: ChoiceInput): boolean {
    return this.usableTargets(input).length === 0;
  }

  /**
   * Time until the first target may be used, if all asked this node for rest;
   * otherwise 0.
   */
  restMs(input: ChoiceInput): number {
    if (input.pushback?.hasRests !== true) return 0;
    return shortestRestMs(this.usableTargets(input), input);
  }

  /** The target of the next attempt, or why none can take it now. */
  choose(input: ChoiceInput): TargetChoice {
    const {nowMs, tried, pushback} = input;
    const records = this.usableTargets(input).filter(
      ({id, slots}) =>
        !tried.has(id) &&
        !this.healthOf(id).isPaused(nowMs) &&
        this.isWithinRate(id, slots, input)
    );
    const open = records.filter(
      record => pushback === undefined || pushback.restMs(record, nowMs) === 0
    );
    const allowed = open.filter(
      record => pushback === undefined || pushback.hasToken(record, nowMs)
    );
    const target = this.cheapest(allowed, input);
    if (target !== undefined) return {kind: 'target', target};
    const lacking = this.cheapest(open, input);
    if (lacking !== undefined) return {kind: 'needsToken', target: lacking};
    if (records.length === 0) return {kind: 'none'};
    return {kind: 'atRest', waitMs: shortestRestMs(records, input)};
  }

  private cheapest(
    records: readonly TargetRecord[],
    input: ChoiceInput
  ): TargetRecord | undefined {
    const options = records.map(record => this.optionOf(record, input));
    const chosen = chooseTargetByPermits(options, input.random);
    return records.find(({id}) => id === chosen?.id);
  }

  private optionOf(
    record: TargetRecord,
    {ownZone, pushback}: ChoiceInput
  ): TargetOption {
    const {id, slots, availabilityZone} = record;
    const {failureRate, latencyMs} = this.healthOf(id);
    return {
      id,
      slots,
      inFlight: this.ownInFlight.get(id) ?? 0,
      permits: this.permits[id] ?? 0,
      isInOwnZone: availabilityZone === ownZone,
      failureRate,
      latencyMs,
      hasToken: pushback?.isLimited(record) === true,
    };
  }

  /** Evicts the state of targets and groups that are not in `records`. */
  retainTargets(records: readonly TargetRecord[]): void {
    const known = new Set(records.map(({id}) => id));
    this.streams.retain(new Set(records.map(groupNameOf)));
    for (const id of this.health.keys())
      if (!known.has(id)) this.health.delete(id);
    for (const id of this.rateWindows.keys())
      if (!known.has(id)) this.rateWindows.delete(id);
  }

  private isWithinRate(id: string, slots: number, input: ChoiceInput): boolean {
    const {coldRequestsPerSecond} = input.service;
    if (coldRequestsPerSecond === 0) return true;
    const {coldMultiplier, coldSlack, nodeId} = this.bounds;
    const rate = coldRateLimit({
      bound: coldRequestsPerSecond * coldMultiplier + coldSlack,
      nodes: input.activeNodes,
      nodeId,
      targetId: id,
      permits: this.permits[id] ?? 0,
      capacity: slots,
    });
    return this.rateWindowOf(id).allows(input.nowMs, rate);
  }

  private healthOf(id: string): TargetHealth {
    let health = this.health.get(id);
    if (health === undefined) {
      health = new TargetHealth();
      this.health.set(id, health);
    }
    return health;
  }

  private rateWindowOf(id: string): RateWindow {
    let window = this.rateWindows.get(id);
    if (window === undefined) {
      window = new RateWindow();
      this.rateWindows.set(id, window);
    }
    return window;
  }
}

/** Time until the first of these targets may be used; 0 if one may be used now. */
function shortestRestMs(
  records: readonly TargetRecord[],
  {pushback, nowMs}: ChoiceInput
): number {
  if (pushback === undefined || records.length === 0) return 0;
  return Math.min(...records.map(record => pushback.restMs(record, nowMs)));
}
