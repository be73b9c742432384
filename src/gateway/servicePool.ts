/** What one gateway knows and has in work of one service. */

import type {ServiceGrant, ServiceLoad} from '../cluster/messages';
import type {PoolGauge} from '../core/nodeMetrics';
import type {TargetRecord} from '../site/announcement';
import {groupNameOf, groupOpenings, isInOpenGroup} from '../site/groupOpenings';
import type {SiteService} from '../site/site';
import {AdmissionQueue} from '../policy/admissionQueue';
import {coldRateOf} from '../policy/coldRate';
import {RateWindow} from '../policy/rateWindow';
import {RetryTiming} from '../policy/retryTiming';
import type {TargetOption} from '../policy/targetChoice';
import {chooseTarget} from '../policy/targetChoice';
import type {AttemptSign} from '../policy/targetHealth';
import {TargetHealth} from '../policy/targetHealth';
import type {WindowBudgetLimits} from '../policy/windowBudget';
import {WindowBudget} from '../policy/windowBudget';
import {StreamsByGroup} from './groupStreams';

/** Before a leader has granted anything: enough to begin with. */
const INITIAL_CONCURRENCY = 2;

/** Bounds of the deployment that a pool keeps to. */
export interface PoolBounds {
  /** Of this node, different from that of each other one. */
  readonly nodeId: string;
  readonly retries: WindowBudgetLimits;
  /** Times the rate that a cold target is said to bear. */
  readonly coldMultiplier: number;
  /** Requests a second beyond that. */
  readonly coldSlack: number;
}

/** What the choice of a target depends on beside the pool itself. */
export interface ChoiceInput {
  readonly service: SiteService;
  readonly records: readonly TargetRecord[];
  readonly zonesOut: ReadonlySet<string>;
  readonly ownZone: string;
  readonly activeNodes: number;
  /** Targets that this request has been sent to. */
  readonly tried: ReadonlySet<string>;
  readonly nowMs: number;
}

/** One service at one gateway. */
export class ServicePool {
  readonly queue = new AdmissionQueue();
  readonly budget: WindowBudget;
  readonly streams = new StreamsByGroup();
  readonly retries = new RetryTiming();
  private readonly health = new Map<string, TargetHealth>();
  private readonly windows = new Map<string, RateWindow>();
  private readonly own = new Map<string, number>();
  private permits: Readonly<Record<string, number>> = {};
  private arrivals = 0;
  private bound: string | undefined;

  constructor(
    private readonly service: string,
    private readonly bounds: PoolBounds
  ) {
    this.budget = new WindowBudget(bounds.retries);
    this.queue.setLimit(INITIAL_CONCURRENCY);
  }

  /** Takes over what the leader granted. */
  grant(grant: ServiceGrant): void {
    const {concurrency, free, permits} = grant;
    this.bound = grant.boundBy;
    this.permits = permits ?? this.permits;
    this.queue.setLimit(concurrency, free);
  }

  /** What bounds the requests of the service, as the leader told last. */
  get boundBy(): string | undefined {
    return this.bound;
  }

  noteArrival(): void {
    this.arrivals++;
  }

  note(targetId: string, sign: AttemptSign, nowMs: number): void {
    this.healthOf(targetId).note(sign, nowMs);
  }

  /** Counts a send; to be undone by `done`. */
  begin(targetId: string, nowMs: number): void {
    this.own.set(targetId, (this.own.get(targetId) ?? 0) + 1);
    this.windowOf(targetId).add(nowMs);
  }

  done(targetId: string): void {
    const left = (this.own.get(targetId) ?? 1) - 1;
    if (left > 0) this.own.set(targetId, left);
    else this.own.delete(targetId);
  }

  /** Report to the leader; arrivals are counted from here anew. */
  takeLoad(): ServiceLoad {
    const {arrivals} = this;
    this.arrivals = 0;
    return {
      service: this.service,
      inFlight: this.queue.inFlight,
      waiting: this.queue.waitingCount,
      arrivals,
      byTarget: Object.fromEntries(this.own),
      pacesMs: this.streams.pacesMs(performance.now()),
    };
  }

  /** Length of a pass of a group; 0 when no stream runs. */
  paceMs(group: string, nowMs: number): number {
    return this.streams.paceMs(group, nowMs);
  }

  gauge(): PoolGauge {
    return {
      service: this.service,
      places: this.queue.places,
      inFlight: this.queue.inFlight,
      waiting: this.queue.waitingCount,
      paceMs: Math.max(
        0,
        ...Object.values(this.streams.pacesMs(performance.now()))
      ),
    };
  }

  /** Targets that may take work at all, whatever their load. */
  usable(input: ChoiceInput): readonly TargetRecord[] {
    const openings = groupOpenings(input.records);
    return input.records.filter(
      record =>
        record.service === this.service &&
        record.state === 'ready' &&
        isInOpenGroup(record, openings) &&
        !input.zonesOut.has(record.availabilityZone) &&
        !this.streams.isStalled(groupNameOf(record), input.nowMs)
    );
  }

  /** Whether all groups stand still, as the streams of this node show. */
  isStalled(nowMs: number): boolean {
    return this.streams.areAllStalled(nowMs);
  }

  /** Whether the whole service stands still, as far as known. */
  isOut(input: ChoiceInput): boolean {
    return this.usable(input).length === 0;
  }

  /** The target for one send; undefined when none can take it now. */
  choose(input: ChoiceInput): TargetRecord | undefined {
    const {nowMs, tried, ownZone} = input;
    const records = this.usable(input).filter(
      ({id, slots}) =>
        !tried.has(id) &&
        !this.healthOf(id).isPaused(nowMs) &&
        this.withinRate(id, slots, input)
    );
    const options = records.map(record => this.optionOf(record, ownZone));
    const chosen = chooseTarget(options, Math.random);
    return records.find(({id}) => id === chosen?.id);
  }

  private optionOf(
    {id, slots, availabilityZone}: TargetRecord,
    ownZone: string
  ): TargetOption {
    const {failureRate, latencyMs} = this.healthOf(id);
    return {
      id,
      slots,
      own: this.own.get(id) ?? 0,
      permits: this.permits[id] ?? 0,
      isNear: availabilityZone === ownZone,
      failureRate,
      latencyMs,
    };
  }

  /** Drops what is kept of targets that are no more. */
  forget(records: readonly TargetRecord[]): void {
    const known = new Set(records.map(({id}) => id));
    this.streams.retain(new Set(records.map(groupNameOf)));
    for (const id of this.health.keys())
      if (!known.has(id)) this.health.delete(id);
    for (const id of this.windows.keys())
      if (!known.has(id)) this.windows.delete(id);
  }

  private withinRate(id: string, slots: number, input: ChoiceInput): boolean {
    const {coldRequestsPerSecond} = input.service;
    if (coldRequestsPerSecond === 0) return true;
    const {coldMultiplier, coldSlack, nodeId} = this.bounds;
    const rate = coldRateOf({
      bound: coldRequestsPerSecond * coldMultiplier + coldSlack,
      nodes: input.activeNodes,
      nodeId,
      targetId: id,
      permits: this.permits[id] ?? 0,
      capacity: slots,
    });
    return this.windowOf(id).allows(input.nowMs, rate);
  }

  private healthOf(id: string): TargetHealth {
    let health = this.health.get(id);
    if (health === undefined) {
      health = new TargetHealth();
      this.health.set(id, health);
    }
    return health;
  }

  private windowOf(id: string): RateWindow {
    let window = this.windows.get(id);
    if (window === undefined) {
      window = new RateWindow();
      this.windows.set(id, window);
    }
    return window;
  }
}
