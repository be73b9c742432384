/** Divides a capacity among urgencies by their order, above a floor for each. */

/**
 * Admission ratio of each urgency, 0 to 1. Each keeps `floor` of its demand; the
 * rest of the capacity goes to the first, then to the next. If the floors exceed the
 * capacity, all get the same ratio.
 *
 * @param demands Demand in slots, the most urgent first.
 */
export function urgencyRatios(
  capacity: number,
  demands: readonly number[],
  floor: number
): readonly number[] {
  const total = demands.reduce((sum, demand) => sum + demand, 0);
  if (total <= capacity) return demands.map(() => 1);
  const kept = Math.min(floor, capacity / total);
  let left = capacity - kept * total;
  return demands.map(demand => {
    const wanted = (1 - kept) * demand;
    const extra = Math.max(0, Math.min(wanted, left));
    const isWhole = left > 0 && extra === wanted;
    left -= extra;
    if (isWhole) return 1;
    return kept + (wanted === 0 ? 0 : ((1 - kept) * extra) / wanted);
  });
}
