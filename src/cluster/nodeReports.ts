/** The last report of each node to the leader; soft state of one term. */

import {sum} from '../core/sum';
import {reportPeriodMs} from '../policy/reportPeriod';
import type {
  NodeDemand,
  UrgentNodeDemand,
} from '../policy/admission/concurrencyAllocation';
import type {NodeInfo, ServiceLoad, SyncParams} from './messages';

/** A node whose last report is older gets no share. */
const ACTIVE_WITHIN_MS = 2_000;
/** A node without a report for this many periods may be lost. */
const RECENT_REPORT_PERIODS = 4;
/** Factor by which each report scales the earlier arrivals down. */
const ARRIVALS_DECAY = 0.7;

/** The last report of one node. */
export interface NodeReport {
  readonly info: NodeInfo;
  readonly bootId: string;
  readonly atMs: number;
  readonly loads: ReadonlyMap<string, ServiceLoad>;
  /** Smoothed arrivals by service. */
  readonly arrivals: ReadonlyMap<string, number>;
  /** Targets that want nothing from the node now. */
  readonly closed: ReadonlySet<string>;
}

/** The last reports by node address. */
export class NodeReports {
  private readonly reports = new Map<string, NodeReport>();

  clear(): void {
    this.reports.clear();
  }

  find(ip: string): NodeReport | undefined {
    return this.reports.get(ip);
  }

  /** Period in which each node reports, milliseconds. */
  get periodMs(): number {
    return reportPeriodMs(this.reports.size);
  }

  add(report: SyncParams, nowMs: number): void {
    const {from, bootId, loads: reported} = report;
    const previous = this.reports.get(from.ip);
    const loads = new Map(reported.map(load => [load.service, load]));
    const arrivals = new Map<string, number>();
    for (const {service, arrivals: count} of reported) {
      const smoothed = previous?.arrivals.get(service) ?? 0;
      arrivals.set(service, smoothed * ARRIVALS_DECAY + count);
    }
    this.reports.set(from.ip, {
      info: from,
      bootId,
      atMs: nowMs,
      loads,
      arrivals,
      closed: new Set(report.closed),
    });
  }

  /** Time since the last report of the node; one period before its first one. */
  sinceLastMs({from, bootId}: SyncParams, nowMs: number): number {
    const last = this.reports.get(from.ip);
    const isKnown =
      last?.bootId === bootId && nowMs - last.atMs <= ACTIVE_WITHIN_MS;
    return isKnown ? nowMs - last.atMs : this.periodMs;
  }

  /** Reports of the nodes that serve callers now. */
  active(nowMs: number): readonly NodeReport[] {
    return this.reportedSince(nowMs - ACTIVE_WITHIN_MS);
  }

  /** Nodes with a recent report. */
  recentNodes(nowMs: number): readonly NodeInfo[] {
    const oldestMs = nowMs - RECENT_REPORT_PERIODS * this.periodMs;
    return this.reportedSince(oldestMs).map(({info}) => info);
  }

  private reportedSince(oldestMs: number): readonly NodeReport[] {
    return [...this.reports.values()].filter(({atMs}) => atMs >= oldestMs);
  }
}

/** Whether a target wants nothing from any of these nodes. */
export function isClosedToAll(
  targetId: string,
  reports: readonly NodeReport[]
): boolean {
  return (
    reports.length > 0 && reports.every(({closed}) => closed.has(targetId))
  );
}

/** Loads of one service in these reports. */
export function loadsOf(
  service: string,
  reports: readonly NodeReport[]
): readonly ServiceLoad[] {
  return reports.flatMap(({loads}) => loads.get(service) ?? []);
}

/** Requests at targets now, at all nodes that reported these loads. */
export function inFlightOf(loads: readonly ServiceLoad[]): number {
  return sum(loads.map(({inFlight}) => inFlight));
}

/** Demand of these nodes for the concurrency of one service. */
export function demandsOf(
  service: string,
  reports: readonly NodeReport[]
): readonly NodeDemand[] {
  return reports.map(({info, loads, arrivals}) => {
    const load = loads.get(service);
    return {
      node: info.ip,
      wanted: (load?.inFlight ?? 0) + (load?.waiting ?? 0),
      arrivals: arrivals.get(service) ?? 0,
    };
  });
}

/** Demand of these nodes for a prioritized service, by urgency. */
export function urgentDemandsOf(
  service: string,
  reports: readonly NodeReport[]
): readonly UrgentNodeDemand[] {
  return demandsOf(service, reports).map((demand, i) => {
    const load = reports[i]?.loads.get(service);
    const inFlight = load?.inFlight ?? 0;
    return {...demand, inFlight, waiting: load?.waitingByUrgency ?? {}};
  });
}
