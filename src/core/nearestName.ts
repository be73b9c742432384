/** Suggests a known name for a misspelled one. */

/** Maximum edit distance of a suggestion. */
const MAX_EDITS = 3;

/** Damerau-Levenshtein distance: single edits and swaps of neighbours. */
function editDistance(from: string, to: string): number {
  const rows = [Array.from({length: to.length + 1}, (_, col) => col)];
  const at = (row: number, col: number) => rows[row]?.[col] ?? Infinity;
  for (let row = 1; row <= from.length; row++) {
    const current = [row];
    rows.push(current);
    for (let col = 1; col <= to.length; col++) {
      const same = from[row - 1] === to[col - 1];
      const swapped =
        from[row - 1] === to[col - 2] && from[row - 2] === to[col - 1];
      const best = Math.min(
        at(row - 1, col) + 1,
        at(row, col - 1) + 1,
        at(row - 1, col - 1) + (same ? 0 : 1),
        swapped ? at(row - 2, col - 2) + 1 : Infinity
      );
      current.push(best);
    }
  }
  return at(from.length, to.length);
}

/** Returns the known name nearest to `name`, unless all are too different. */
export function nearestName(
  name: string,
  known: Iterable<string>
): string | undefined {
  const maxEdits = Math.min(MAX_EDITS, Math.ceil(name.length / 2));
  let best: {readonly name: string; readonly edits: number} | undefined;
  for (const candidate of known) {
    if (Math.abs(candidate.length - name.length) > maxEdits) continue;
    const edits = editDistance(name.toLowerCase(), candidate.toLowerCase());
    if (edits > maxEdits) continue;
    if (best === undefined || edits < best.edits)
      best = {name: candidate, edits};
  }
  return best?.name;
}

/** Returns `; did you mean "x"?` or nothing, to append to an error message. */
export function suggestion(name: string, known: Iterable<string>): string {
  const nearest = nearestName(name, known);
  return nearest === undefined ? '' : `; did you mean "${nearest}"?`;
}
