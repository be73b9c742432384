/** Size of entries, so that one message never grows past what peers take. */

import type {LogEntry} from './entry';

const sizes = new WeakMap<LogEntry, number>();

/** Characters of the entry as JSON; worked out once for each. */
export function entryChars(entry: LogEntry): number {
  const known = sizes.get(entry);
  if (known !== undefined) return known;
  const chars = JSON.stringify(entry).length;
  sizes.set(entry, chars);
  return chars;
}
