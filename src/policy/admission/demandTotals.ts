/**
 * Demand for one service by urgency and customer, summed over nodes. The last report
 * of a node counts until its next one.
 */

import {CustomerDemand, type DemandRate} from './customerDemand';
import {
  compareUrgency,
  parseUrgency,
  type Urgency,
  type UrgencyKey,
} from './urgency';

/** A node whose last report is older no longer counts. */
const REPORT_VALID_MS = 2_000;
/** A shorter time says little of the rate: one request would count as hundreds. */
const MIN_COVERED_MS = 50;
const MS_PER_S = 1_000;
/** Urgency of requests whose urgency cannot be read. */
const LEAST_URGENT: Urgency = {
  customer: Number.MAX_SAFE_INTEGER,
  route: Number.MAX_SAFE_INTEGER,
};

/** Arrivals of one urgency and customer at one node. */
export interface DemandEntry {
  readonly urgency: UrgencyKey;
  readonly customer: string;
  readonly arrivals: number;
  /** Work of these requests, output tokens. */
  readonly work: number;
}

/** A node's report on one service. */
export interface DemandReport {
  /** Absent from nodes of an older version. */
  readonly demand?: readonly DemandEntry[];
  /** Time in which the requests of `demand` arrived, milliseconds. */
  readonly coveredMs: number;
  readonly inFlight: number;
  readonly waiting: number;
  /** From admission to the end of a request; 0 or absent when not known. */
  readonly serviceTimeMs?: number;
}

/** Demand of one urgency. */
export interface UrgencyLevel {
  readonly key: UrgencyKey;
  readonly urgency: Urgency;
  readonly customers: Map<string, CustomerDemand>;
}

interface NodePart {
  readonly atMs: number;
  readonly report: DemandReport;
  readonly rates: readonly {
    readonly demand: CustomerDemand;
    readonly rate: DemandRate;
  }[];
}

/** Adds up the reports of all nodes. */
export class DemandTotals {
  private readonly nodes = new Map<string, NodePart>();
  private readonly byKey = new Map<UrgencyKey, UrgencyLevel>();

  /** Levels with recent demand, the most urgent first. */
  levels: readonly UrgencyLevel[] = [];

  get reportedNodes(): number {
    return this.nodes.size;
  }

  /** Replaces what the node reported before. */
  add(node: string, report: DemandReport, nowMs: number): void {
    this.remove(node);
    const perSecond =
      MS_PER_S / Math.max(MIN_COVERED_MS, validCount(report.coveredMs));
    const rates = (report.demand ?? []).map(entry => ({
      demand: this.demandOf(entry),
      rate: {
        arrivals: validCount(entry.arrivals) * perSecond,
        work: validCount(entry.work) * perSecond,
      },
    }));
    for (const {demand, rate} of rates) demand.add(rate, 1);
    this.nodes.set(node, {atMs: nowMs, report, rates});
  }

  /** Removes the nodes that have not reported for two seconds. */
  expire(nowMs: number): void {
    for (const [node, {atMs}] of this.nodes)
      if (nowMs - atMs > REPORT_VALID_MS) this.remove(node);
  }

  /** Moves the averages; `recentMs` of 0 takes what is reported now. */
  smooth(elapsedMs: number, recentMs: number): void {
    for (const {customers} of this.levels)
      for (const [name, demand] of customers) {
        if (recentMs === 0) demand.restart();
        else demand.smooth(elapsedMs, recentMs);
        if (demand.isForgotten) customers.delete(name);
      }
  }

  /** Forgets the levels without demand. */
  removeIdleLevels(): void {
    for (const [key, {customers}] of this.byKey)
      if (customers.size === 0) this.byKey.delete(key);
    this.sortLevels();
  }

  /** Mean service time of the nodes that know it; 0 when none does. */
  get serviceTimeMs(): number {
    let weights = 0;
    let total = 0;
    for (const {report} of this.nodes.values()) {
      const timeMs = validCount(report.serviceTimeMs ?? 0);
      if (timeMs === 0) continue;
      const weight = 1 + validCount(report.inFlight);
      weights += weight;
      total += weight * timeMs;
    }
    return weights === 0 ? 0 : total / weights;
  }

  /** Requests at nodes of an older version, in flight and waiting. */
  get undeclared(): number {
    let total = 0;
    for (const {report} of this.nodes.values()) {
      if (report.demand !== undefined) continue;
      total += validCount(report.inFlight) + validCount(report.waiting);
    }
    return total;
  }

  private remove(node: string): void {
    const rates = this.nodes.get(node)?.rates ?? [];
    for (const {demand, rate} of rates) demand.add(rate, -1);
    this.nodes.delete(node);
  }

  private demandOf({urgency, customer}: DemandEntry): CustomerDemand {
    const level = this.levelOf(urgency);
    const known = level.customers.get(customer);
    if (known !== undefined) return known;
    const demand = new CustomerDemand();
    level.customers.set(customer, demand);
    return demand;
  }

  private levelOf(key: UrgencyKey): UrgencyLevel {
    const known = this.byKey.get(key);
    if (known !== undefined) return known;
    const urgency = parseUrgency(key) ?? LEAST_URGENT;
    const level = {key, urgency, customers: new Map()};
    this.byKey.set(key, level);
    this.sortLevels();
    return level;
  }

  private sortLevels(): void {
    this.levels = [...this.byKey.values()].sort((a, b) =>
      compareUrgency(a.urgency, b.urgency)
    );
  }
}

/** The count, or 0 in place of one that cannot be right. */
function validCount(count: number): number {
  return Number.isFinite(count) ? Math.max(0, count) : 0;
}
