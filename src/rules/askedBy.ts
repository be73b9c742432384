/** Who asked for a rule, from the comment at the end of its line. */

/** Words that stand where a name should and name nobody. */
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

const COMMENT = /^\s*asked by\s+([^,;:(]+)/i;
const LETTER = /\p{L}/u;

/**
 * The name in `asked by NAME`; what follows a comma, semicolon, colon or
 * bracket is a remark. None when nobody is named.
 */
export function readAskedBy(comment: string): string | undefined {
  const who = COMMENT.exec(comment)?.[1]?.trim().replace(/\s+/g, ' ');
  if (who === undefined || !LETTER.test(who)) return undefined;
  return PLACEHOLDERS.has(who.toLowerCase()) ? undefined : who;
}
