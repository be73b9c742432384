/** Finds the name that a person probably meant. */

/** Most edits at which two spellings still count as near. */
const MAX_EDITS = 3;

/** Levenshtein distance: edits of one character between two words. */
function editDistance(from: string, to: string): number {
  let previous = Array.from({length: to.length + 1}, (_, index) => index);
  for (let row = 1; row <= from.length; row++) {
    const current = [row];
    for (let col = 1; col <= to.length; col++) {
      const change = from[row - 1] === to[col - 1] ? 0 : 1;
      const best = Math.min(
        (previous[col] ?? 0) + 1,
        (current[col - 1] ?? 0) + 1,
        (previous[col - 1] ?? 0) + change
      );
      current.push(best);
    }
    previous = current;
  }
  return previous[to.length] ?? 0;
}

/** The known name nearest to `name`; none when all are far off. */
export function nearestName(
  name: string,
  known: Iterable<string>
): string | undefined {
  const most = Math.min(MAX_EDITS, Math.ceil(name.length / 2));
  let best: {readonly name: string; readonly edits: number} | undefined;
  for (const candidate of known) {
    if (Math.abs(candidate.length - name.length) > most) continue;
    const edits = editDistance(name.toLowerCase(), candidate.toLowerCase());
    if (edits > most) continue;
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
