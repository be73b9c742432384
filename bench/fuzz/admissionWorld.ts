/**
 * Nodes that admit arrivals by the ratios of a leader, in virtual time and without a
 * network. Reports are lost, leaders replaced and nodes cut off on request.
 */

import {
  AdmissionPlan,
  type UrgencyRatio,
} from '../../src/policy/admission/admissionPlan';
import type {DemandEntry} from '../../src/policy/admission/demandTotals';
import {reportPeriodMs} from '../../src/policy/reportPeriod';
import {SeededRandom} from './schedule';

const STEP_MS = 10;
const MS_PER_S = 1_000;
/** Time in which a node without a leader halves the distance of a ratio to 1. */
const WIDENING_MS = 2_000;
/** Report periods in which a new leader collects the reports of all nodes. */
const COLLECT_PERIODS = 4;
const SERVICE_TIME_MS = 2_000;
/** The leader computes ratios once for all nodes that report within this time. */
const UPDATE_INTERVAL_MS = 50;

/** Requests of one customer in one urgency. */
export interface Caller {
  readonly urgency: string;
  readonly customer: string;
  /** Requests per second; may be changed while the world runs. */
  perSecond: number;
  /** Mean work of a request; the work of each is from 0 to twice this. */
  readonly work: number;
}

/** A world of nodes, callers and one leader. */
export interface AdmissionWorldOptions {
  readonly nodes: number;
  /** Requests that the service runs at once; may change with time. */
  capacity(nowMs: number): number;
  readonly callers: readonly Caller[];
  readonly floor: number;
  /** Part of the reports that are lost, 0 to 1. */
  readonly loss: number;
  /** Part of the nodes that are of an older version and report no demand. */
  readonly oldNodes?: number;
}

/** One request as it arrived. */
export interface Arrival {
  readonly atMs: number;
  readonly caller: Caller;
  readonly work: number;
  readonly isAdmitted: boolean;
}

interface SimulatedNode {
  readonly name: string;
  readonly weight: number;
  readonly isOld: boolean;
  readonly pending: Map<Caller, {arrivals: number; work: number}>;
  readonly credits: Map<Caller, number>;
  ratios: readonly UrgencyRatio[] | undefined;
  grantedAtMs: number;
  takenAtMs: number;
  reportAtMs: number;
  cutUntilMs: number;
}

/** Runs arrivals, reports and grants. */
export class AdmissionWorld {
  readonly arrivals: Arrival[] = [];
  /** The leader's plan; undefined while there is no leader. */
  plan: AdmissionPlan | undefined;
  now = 0;
  private readonly nodes: readonly SimulatedNode[];
  private readonly cumulativeWeights: readonly number[];
  private leadsSinceMs = 0;
  private updatedAtMs = -Infinity;

  constructor(
    private readonly options: AdmissionWorldOptions,
    private readonly random: SeededRandom
  ) {
    this.plan = new AdmissionPlan(options.floor);
    this.nodes = Array.from({length: options.nodes}, (_, i) =>
      this.createNode(i)
    );
    let total = 0;
    this.cumulativeWeights = this.nodes.map(({weight}) => (total += weight));
  }

  /** Advances the time; `check` runs after each report that arrives. */
  run(ms: number, check: () => void = () => undefined): void {
    const endMs = this.now + ms;
    while (this.now < endMs) {
      this.now += STEP_MS;
      for (const caller of this.options.callers) this.arrive(caller);
      for (const node of this.nodes)
        if (node.reportAtMs <= this.now && this.report(node)) check();
    }
  }

  /** Ends the leader; a new one knows nothing of the old one's reports. */
  killLeader(): void {
    this.plan = undefined;
  }

  startLeader(): void {
    this.plan = new AdmissionPlan(this.options.floor);
    this.leadsSinceMs = this.now;
  }

  /** Cuts a node off from the leader. */
  cut(index: number, ms: number): void {
    const node = this.nodes[index];
    if (node !== undefined) node.cutUntilMs = this.now + ms;
  }

  private get periodMs(): number {
    return reportPeriodMs(this.options.nodes);
  }

  /** Node `i` gets fewer callers than the one before it. */
  private createNode(i: number): SimulatedNode {
    const {nodes, oldNodes = 0} = this.options;
    return {
      name: `n${i}`,
      weight: 1 / Math.sqrt(i + 1),
      isOld: i < oldNodes * nodes,
      pending: new Map(),
      credits: new Map(),
      ratios: undefined,
      grantedAtMs: 0,
      takenAtMs: 0,
      reportAtMs: this.random.next() * this.periodMs,
      cutUntilMs: 0,
    };
  }

  private arrive(caller: Caller): void {
    const expected = (caller.perSecond * STEP_MS) / MS_PER_S;
    // The sum of many draws is close to a Poisson distribution.
    const draws = Math.max(4, Math.ceil(expected * 4));
    for (let i = 0; i < draws; i++)
      if (this.random.chance(expected / draws)) this.offer(caller);
  }

  private offer(caller: Caller): void {
    const node = this.pickNode();
    const work = caller.work * 2 * this.random.next();
    const pending = node.pending.get(caller) ?? {arrivals: 0, work: 0};
    pending.arrivals++;
    pending.work += work;
    node.pending.set(caller, pending);
    const ratio = node.isOld ? 1 : this.ratioAt(node, caller);
    const credit = (node.credits.get(caller) ?? this.random.next()) + ratio;
    const isAdmitted = credit >= 1;
    node.credits.set(caller, isAdmitted ? credit - 1 : credit);
    this.arrivals.push({atMs: this.now, caller, work, isAdmitted});
  }

  private ratioAt(node: SimulatedNode, {urgency, customer}: Caller): number {
    const level = node.ratios?.find(level => level.urgency === urgency);
    const ratio = level?.customers.get(customer) ?? level?.ratio ?? 1;
    const sinceMs = this.now - node.grantedAtMs - 2 * this.periodMs;
    const halvings = Math.max(0, sinceMs) / WIDENING_MS;
    return 1 - (1 - ratio) * Math.pow(0.5, halvings);
  }

  private pickNode(): SimulatedNode {
    const sums = this.cumulativeWeights;
    const point = this.random.next() * (sums.at(-1) ?? 0);
    let low = 0;
    let high = sums.length - 1;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((sums[middle] ?? 0) > point) high = middle;
      else low = middle + 1;
    }
    const node = this.nodes[low];
    if (node === undefined) throw new Error('a world needs nodes');
    return node;
  }

  /** Reports; whether the report arrives. */
  private report(node: SimulatedNode): boolean {
    const {plan, now, periodMs} = this;
    const {loss} = this.options;
    node.reportAtMs = now + periodMs * (0.9 + 0.4 * this.random.next());
    const demand: DemandEntry[] = [...node.pending].map(
      ([{urgency, customer}, counts]) => ({urgency, customer, ...counts})
    );
    const coveredMs = now - node.takenAtMs;
    node.pending.clear();
    node.takenAtMs = now;
    const isLost = node.cutUntilMs > now || this.random.chance(loss);
    if (plan === undefined || isLost) return false;
    const load = {inFlight: 1, waiting: 0, serviceTimeMs: SERVICE_TIME_MS};
    const report = node.isOld ? load : {...load, demand};
    plan.report(node.name, {...report, coveredMs}, now);
    node.ratios = this.updatedRatios(plan);
    node.grantedAtMs = now;
    return true;
  }

  private updatedRatios(plan: AdmissionPlan) {
    const {now, periodMs} = this;
    const {capacity, nodes} = this.options;
    if (now - this.updatedAtMs < UPDATE_INTERVAL_MS) return plan.ratios;
    this.updatedAtMs = now;
    plan.update({
      capacity: capacity(now),
      knownNodes: nodes,
      isCollecting: now - this.leadsSinceMs < COLLECT_PERIODS * periodMs,
      periodMs,
      nowMs: now,
    });
    return plan.ratios;
  }
}

/** Part of the arrivals of one urgency that was admitted in a window. */
export function servedRatio(
  arrivals: readonly Arrival[],
  isCounted: (arrival: Arrival) => boolean
): number {
  const counted = arrivals.filter(isCounted);
  const admitted = counted.filter(({isAdmitted}) => isAdmitted);
  return counted.length === 0 ? 1 : admitted.length / counted.length;
}
