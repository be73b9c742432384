/**
 * Urgency of a request. The priority of the customer is compared first, then that of
 * the route, so that the routes of one customer keep their order.
 */

/** Priorities that order requests; 0 is the most urgent. */
export interface Urgency {
  /** Priority of the customer, or of the route if the customer states none. */
  readonly customer: number;
  readonly route: number;
}

/** An urgency as text, `customer/route`, for messages, logs and metrics. */
export type UrgencyKey = string;

const KEY = /^(\d+)\/(\d+)$/;

/** Urgency from the priorities of a route and of a customer, if it states one. */
export function urgencyOf(
  routePriority: number,
  customerPriority: number | undefined
): Urgency {
  return {customer: customerPriority ?? routePriority, route: routePriority};
}

/** Text form of an urgency. */
export function urgencyKey({customer, route}: Urgency): UrgencyKey {
  return `${customer}/${route}`;
}

/** Parses the text form; undefined if it is not an urgency. */
export function parseUrgency(key: UrgencyKey): Urgency | undefined {
  const [, customer, route] = KEY.exec(key) ?? [];
  if (customer === undefined || route === undefined) return undefined;
  return {customer: Number(customer), route: Number(route)};
}

/** Negative if `a` is more urgent than `b`, 0 if they are equally urgent. */
export function compareUrgency(a: Urgency, b: Urgency): number {
  return a.customer - b.customer || a.route - b.route;
}
