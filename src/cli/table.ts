/** Plain-text tables for the terminal. */

/** Formats a table with aligned columns: the heading, then one line per row. */
export function formatTable(
  heading: readonly string[],
  rows: readonly (readonly string[])[]
): readonly string[] {
  const all = [heading, ...rows];
  const widths = heading.map((_, col) =>
    Math.max(...all.map(row => row[col]?.length ?? 0))
  );
  return all.map(row =>
    row
      .map((cell, col) => cell.padEnd(widths[col] ?? 0))
      .join('  ')
      .trimEnd()
  );
}
