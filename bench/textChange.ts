/** A change of one text in one file, by which a mechanism is taken out. */

import {readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import * as z from 'zod';

/** What is replaced where. */
export const TEXT_CHANGE = z.strictObject({
  file: z.string(),
  find: z.string(),
  replace: z.string(),
});
/** What is replaced where. */
export type TextChange = z.infer<typeof TEXT_CHANGE>;

/**
 * Carries it out below a folder; returns why it does not fit, or what undoes
 * it. The text must match once: a change that fits nowhere takes nothing out.
 */
export function changeText(
  dir: string,
  {file, find, replace}: TextChange
): string | (() => void) {
  const place = path.join(dir, file);
  const original = readFileSync(place, 'utf8');
  const matches = original.split(find).length - 1;
  if (matches !== 1) return `the text matches ${matches} times in ${file}`;
  writeFileSync(
    place,
    original.replace(find, () => replace)
  );
  return () => writeFileSync(place, original);
}
