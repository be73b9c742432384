/** Arrivals and their work by urgency and customer, for reports to the leader. */

import type {Arrival} from './admissionGate';
import type {UrgencyKey} from './urgency';
import {urgencyKey} from './urgency';

/** Arrivals of one urgency and customer since the last report. */
export interface CountedDemand {
  readonly urgency: UrgencyKey;
  readonly customer: string;
  readonly arrivals: number;
  /** Cost in output tokens. */
  readonly work: number;
}

/** Work of a request without a usable count of tokens, as `requestCost` has it. */
const MIN_WORK = 1;

/** Counts all arrivals, also those that are refused. */
export class DemandCounter {
  private readonly counts = new Map<string, CountedDemand>();

  record({urgency, customer}: Arrival, work: number): void {
    const text = urgencyKey(urgency);
    const key = `${text} ${customer}`;
    const {arrivals = 0, work: total = 0} = this.counts.get(key) ?? {};
    this.counts.set(key, {
      urgency: text,
      customer,
      arrivals: arrivals + 1,
      work:
        total + (Number.isFinite(work) ? Math.max(MIN_WORK, work) : MIN_WORK),
    });
  }

  /** Returns the counts since the last call. */
  take(): readonly CountedDemand[] {
    const demand = [...this.counts.values()];
    this.counts.clear();
    return demand;
  }
}
