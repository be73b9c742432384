/** Load ramp of a returning availability zone, and load shedding by customer. */

/** A zone that may be returning to service. */
export interface ZoneReturn {
  readonly availabilityZone: string;
  /** Undefined if the zone was never out of service. */
  readonly returnedAtMs: number | undefined;
}

/** Demand of one customer at one priority, in cost per second. */
export interface CustomerDemand {
  readonly customer: string;
  /** Weight of the customer, above 0. */
  readonly share: number;
  /** Within a customer, lower priorities are shed first. */
  readonly priority: number;
  readonly demand: number;
}

/** Part of the capacity that is allotted to one demand. */
export interface CustomerAllowance {
  readonly customer: string;
  readonly priority: number;
  /** Allowed demand, in cost per second. */
  readonly allowed: number;
  /** Fraction of the demand that is refused, 0 to 1. */
  readonly shedRatio: number;
}

/** Ratio of its normal load that a returning zone gets at first. */
const INITIAL_WEIGHT = 0.1;
/** Time from the return until the normal load. */
const RAMP_UP_MS = 10_000;

/** Ratio of its normal load that a zone gets now, above 0 and up to 1. */
export function zoneWeight(zone: ZoneReturn, nowMs: number): number {
  if (zone.returnedAtMs === undefined) return 1;
  const elapsed = Math.max(0, nowMs - zone.returnedAtMs) / RAMP_UP_MS;
  return Math.min(1, INITIAL_WEIGHT + (1 - INITIAL_WEIGHT) * elapsed);
}

/**
 * Divides the capacity among customers by weighted max-min fairness, and the fair
 * share of each customer among its demands, higher priorities first. Thus demand
 * beyond a share and the lowest priorities are shed first, and no customer loses its
 * share to urgent work of another one.
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
      const shedRatio = demand.demand === 0 ? 0 : 1 - allowed / demand.demand;
      const {customer, priority} = demand;
      return {customer, priority, allowed, shedRatio};
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

/** Weighted max-min: caps each customer at its demand and divides the rest. */
function fairShares(
  totals: readonly CustomerTotal[],
  capacity: number
): ReadonlyMap<string, number> {
  const result = new Map<string, number>();
  const demandPerShare = (total: CustomerTotal) => total.demand / total.share;
  const ascending = [...totals].sort(
    (a, b) => demandPerShare(a) - demandPerShare(b)
  );
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
