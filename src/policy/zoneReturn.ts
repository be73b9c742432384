/** Shares while an availability zone returns, and what to shed without it. */

/** When a zone came back; undefined when it has been in service all along. */
export interface ZoneReturn {
  readonly availabilityZone: string;
  readonly returnedAtMs: number | undefined;
}

/** Demand of one customer, in cost a second. */
export interface CustomerDemand {
  readonly customer: string;
  /** Weight of the customer, above 0. */
  readonly share: number;
  /** Higher is kept longer. */
  readonly priority: number;
  readonly demand: number;
}

/** What a customer may use of the capacity that is left. */
export interface CustomerAllowance {
  readonly customer: string;
  readonly priority: number;
  /** Cost a second. */
  readonly allowed: number;
  /** Part of its demand that is to be refused, 0 to 1. */
  readonly shedPart: number;
}

/** Part of the normal share that a returning zone gets at first. */
const FIRST_WEIGHT = 0.1;
/** Time from the return to the normal share. */
const RETURN_MS = 10_000;

/** Part of its normal share that a zone gets now, above 0 and up to 1. */
export function zoneWeight(zone: ZoneReturn, nowMs: number): number {
  if (zone.returnedAtMs === undefined) return 1;
  const elapsed = Math.max(0, nowMs - zone.returnedAtMs) / RETURN_MS;
  return Math.min(1, FIRST_WEIGHT + (1 - FIRST_WEIGHT) * elapsed);
}

/**
 * Divides the capacity: within each priority by weighted max-min shares, a
 * higher priority first only up to each customer's own fair share of the
 * whole. So the lowest priority and what is over a share are shed first, and
 * no customer loses its share to another one's urgent work.
 */
export function allowances(
  demands: readonly CustomerDemand[],
  capacity: number
): readonly CustomerAllowance[] {
  const byCustomer = fairShares(customerTotals(demands), capacity);
  const left = new Map(byCustomer);
  return [...demands]
    .sort((a, b) => b.priority - a.priority)
    .map(demand => {
      const available = left.get(demand.customer) ?? 0;
      const allowed = Math.min(demand.demand, available);
      left.set(demand.customer, available - allowed);
      const shedPart = demand.demand === 0 ? 0 : 1 - allowed / demand.demand;
      const {customer, priority} = demand;
      return {customer, priority, allowed, shedPart};
    });
}

interface CustomerTotal {
  readonly customer: string;
  readonly share: number;
  readonly demand: number;
}

function customerTotals(
  demands: readonly CustomerDemand[]
): readonly CustomerTotal[] {
  const totals = new Map<string, CustomerTotal>();
  for (const {customer, share, demand} of demands) {
    const earlier = totals.get(customer)?.demand ?? 0;
    totals.set(customer, {customer, share, demand: earlier + demand});
  }
  return [...totals.values()];
}

/** Weighted max-min: nobody gets more than it asks, the rest is divided on. */
function fairShares(
  totals: readonly CustomerTotal[],
  capacity: number
): ReadonlyMap<string, number> {
  const result = new Map<string, number>();
  const need = (total: CustomerTotal) => total.demand / total.share;
  const ascending = [...totals].sort((a, b) => need(a) - need(b));
  let left = capacity;
  let shares = ascending.reduce((sum, total) => sum + total.share, 0);
  for (const total of ascending) {
    const fair = (left * total.share) / shares;
    const given = Math.min(total.demand, fair);
    result.set(total.customer, given);
    left -= given;
    shares -= total.share;
  }
  return result;
}
