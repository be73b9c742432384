/** Figures as log lines show them: whole milliseconds and counts. */

/** Each figure as a whole number. */
export function rounded(
  figures: Readonly<Record<string, number>>
): Readonly<Record<string, number>> {
  const pairs = Object.entries(figures);
  return Object.fromEntries(pairs.map(([name, n]) => [name, Math.round(n)]));
}
