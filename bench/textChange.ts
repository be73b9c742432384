/** A text replacement in a source file, which removes a mechanism. */

import {readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import * as z from 'zod';

/** Schema of a text replacement. */
export const TEXT_CHANGE = z.strictObject({
  file: z.string(),
  find: z.string(),
  replace: z.string(),
});
/** Replaces `find` by `replace` in `file`. */
export type TextChange = z.infer<typeof TEXT_CHANGE>;

/**
 * Applies a change to the checkout `dir`. Returns a function that undoes it, or
 * the reason why it was not applied. The text must match exactly once, since a
 * change that matches nowhere would silently remove nothing.
 */
export function changeText(
  dir: string,
  {file, find, replace}: TextChange
): string | (() => void) {
  const filePath = path.join(dir, file);
  const original = readFileSync(filePath, 'utf8');
  const matches = original.split(find).length - 1;
  if (matches !== 1) return `the text matches ${matches} times in ${file}`;
  writeFileSync(
    filePath,
    original.replace(find, () => replace)
  );
  return () => writeFileSync(filePath, original);
}
