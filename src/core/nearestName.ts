/** Finds the name that a person probably meant. */

/** Most edits at which two spellings still count as near. */
const MAX_EDITS = 3;

/** Edits of one character, or swaps of two neighbours, between two words. */
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

/** The known name nearest to `name`; none when all are far off. */
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

/** `; did you mean "x"?`, or nothing: for the end of an error message. */
export function suggestion(name: string, known: Iterable<string>): string {
  const nearest = nearestName(name, known);
  return nearest === undefined ? '' : `; did you mean "${nearest}"?`;
}
