/** Size of entries, used to keep messages below the size that peers accept. */

import type {LogEntry} from './entry';

const sizes = new WeakMap<LogEntry, number>();

/** Length of the entry's JSON in characters, cached per entry. */
export function entryChars(entry: LogEntry): number {
  const known = sizes.get(entry);
  if (known !== undefined) return known;
  const chars = JSON.stringify(entry).length;
  sizes.set(entry, chars);
  return chars;
}
