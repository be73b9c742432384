/** Reads who asked for a rule from the comment at the end of its line. */

/** Words in place of a name that identify nobody. */
const PLACEHOLDERS: ReadonlySet<string> = new Set([
  'anybody',
  'anyone',
  'me',
  'n/a',
  'nobody',
  'none',
  'somebody',
  'someone',
  'tbd',
  'todo',
  'unknown',
  'us',
]);

const ASKED_BY_COMMENT = /^\s*asked by\s+([^,;:(]+)/i;
const LETTER = /\p{L}/u;

/**
 * Returns the name in `asked by NAME`, or undefined if nobody is named. Text
 * after a comma, semicolon, colon or parenthesis is a remark.
 */
export function readAskedBy(comment: string): string | undefined {
  const name = ASKED_BY_COMMENT.exec(comment)?.[1]?.trim().replace(/\s+/g, ' ');
  if (name === undefined || !LETTER.test(name)) return undefined;
  return PLACEHOLDERS.has(name.toLowerCase()) ? undefined : name;
}
