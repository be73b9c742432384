/** Rounding of the milliseconds and counts in log lines. */

/** Returns the record with every value rounded to a whole number. */
export function rounded(
  figures: Readonly<Record<string, number>>
): Readonly<Record<string, number>> {
  const pairs = Object.entries(figures);
  return Object.fromEntries(pairs.map(([name, n]) => [name, Math.round(n)]));
}
