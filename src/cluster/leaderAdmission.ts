/**
 * The leader's admission plans, one for each prioritized service. Soft state, which
 * a new leader rebuilds from the reports of the nodes.
 */

import type {Logger} from '../core/logger';
import type {CustomerWorkGauge} from '../core/nodeMetrics';
import {
  allocateByUrgency,
  allocateConcurrency,
} from '../policy/admission/concurrencyAllocation';
import {
  AdmissionPlan,
  type PlanInput,
  type UrgencyRatio,
} from '../policy/admission/admissionPlan';
import {prioritizedServices} from '../site/prioritizedServices';
import type {Site} from '../site/site';
import {AdmissionChangeLogger} from './admissionChangeLogger';
import type {AdmissionRatio, ServiceLoad, SyncParams} from './messages';
import type {NodeReport} from './nodeReports';
import {demandsOf, urgentDemandsOf} from './nodeReports';

/** Part of its demand that each urgency keeps unless a setting states another. */
export const DEFAULT_ADMISSION_FLOOR = 0.4;

/** Customers of a service that metrics show; bounds the number of series. */
const MAX_CUSTOMER_SERIES = 100;

/** Admission ratios of all prioritized services. */
export class LeaderAdmission {
  private readonly plans = new Map<string, AdmissionPlan>();
  private readonly ratios = new Map<string, AdmissionRatio[]>();
  private readonly changeLogger: AdmissionChangeLogger;
  private site: Site | undefined;
  private prioritized: ReadonlySet<string> = new Set();

  constructor(
    logger: Logger,
    private readonly floor: number
  ) {
    this.changeLogger = new AdmissionChangeLogger(logger);
  }

  /** Starts a new term without the reports of the last one. */
  reset(): void {
    this.plans.clear();
    this.ratios.clear();
  }

  isPrioritized(service: string): boolean {
    return this.prioritized.has(service);
  }

  /** Takes the demand of one node; `sinceLastMs` is the time since its last report. */
  handleReport(
    {from, loads, loadsMs}: SyncParams,
    site: Site | undefined,
    {nowMs, sinceLastMs}: {readonly nowMs: number; readonly sinceLastMs: number}
  ): void {
    if (site !== this.site) this.setSite(site);
    for (const load of loads) {
      if (!this.isPrioritized(load.service)) continue;
      const report = {
        ...load,
        demand: demandIn(load),
        coveredMs: loadsMs ?? sinceLastMs,
      };
      this.planOf(load.service).report(from.ip, report, nowMs);
    }
  }

  /** Divides the slots of a service among nodes; updates the ratios beside. */
  allocate(
    service: string,
    reports: readonly NodeReport[],
    input: PlanInput
  ): ReadonlyMap<string, number> {
    const {capacity} = input;
    if (!this.isPrioritized(service))
      return allocateConcurrency(capacity, demandsOf(service, reports));
    this.update(service, input);
    return allocateByUrgency(capacity, urgentDemandsOf(service, reports));
  }

  private update(service: string, input: PlanInput): void {
    const plan = this.planOf(service);
    plan.update(input);
    const {ratios} = plan;
    this.changeLogger.logIfChanged(service, input, plan);
    if (ratios === undefined) this.ratios.delete(service);
    else this.ratios.set(service, ratios.map(toMessage));
  }

  /** The grant's part for a service; empty when everything is admitted. */
  grantOf(service: string): {readonly admission?: AdmissionRatio[]} {
    const admission = this.ratios.get(service);
    return admission === undefined ? {} : {admission};
  }

  /** Use and share of the customers with the most work, by service. */
  customerWork(): readonly CustomerWorkGauge[] {
    return [...this.plans].flatMap(([service, plan]) =>
      [...plan.customerUse()]
        .sort((a, b) => b.used - a.used)
        .slice(0, MAX_CUSTOMER_SERIES)
        .map(use => ({service, ...use}))
    );
  }

  private setSite(site: Site | undefined): void {
    this.site = site;
    this.prioritized =
      site === undefined ? new Set() : prioritizedServices(site);
    for (const service of this.plans.keys()) {
      if (this.prioritized.has(service)) continue;
      this.plans.delete(service);
      this.ratios.delete(service);
    }
  }

  private planOf(service: string): AdmissionPlan {
    const plan = this.plans.get(service) ?? new AdmissionPlan(this.floor);
    this.plans.set(service, plan);
    return plan;
  }
}

/** Undefined from a node of an older version; a newer one may have no arrivals. */
function demandIn({demand, waitingByUrgency}: ServiceLoad) {
  return demand ?? (waitingByUrgency === undefined ? undefined : []);
}

function toMessage({urgency, ratio, customers}: UrgencyRatio): AdmissionRatio {
  return {urgency, ratio, customers: Object.fromEntries(customers)};
}
