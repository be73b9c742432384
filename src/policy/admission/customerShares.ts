/** Divides the work of one urgency among customers by weighted max-min fairness. */

/** What one customer asks for. */
export interface CustomerWork {
  /** Work per second, output tokens. */
  readonly work: number;
  /** Share relative to the others; 1 is used unless it is above 0. */
  readonly weight?: number;
}

const DEFAULT_WEIGHT = 1;

/**
 * Work per second and unit of weight up to which each customer is served, so that
 * all of them together get `budget`. Infinity if the budget suffices for all.
 */
export function waterLevel(
  budget: number,
  customers: readonly CustomerWork[]
): number {
  const order = customers
    .map(customer => ({work: workOf(customer), weight: weightOf(customer)}))
    .sort((a, b) => a.work / a.weight - b.work / b.weight);
  let budgetLeft = Math.max(0, budget);
  let weightLeft = order.reduce((total, {weight}) => total + weight, 0);
  for (const {work, weight} of order) {
    const level = budgetLeft / weightLeft;
    if (work / weight > level) return level;
    budgetLeft -= work;
    weightLeft -= weight;
  }
  return Infinity;
}

/** Part of a customer's work that a water level allows, 0 to 1. */
export function ratioAtLevel(level: number, customer: CustomerWork): number {
  const work = workOf(customer);
  if (work === 0) return 1;
  return Math.min(1, (level * weightOf(customer)) / work);
}

function workOf({work}: CustomerWork): number {
  return Number.isFinite(work) ? Math.max(0, work) : 0;
}

function weightOf({weight = DEFAULT_WEIGHT}: CustomerWork): number {
  return Number.isFinite(weight) && weight > 0 ? weight : DEFAULT_WEIGHT;
}
