/**
 * Values in the rule file: text on one side, typed on the other. Each schema
 * carries its accepted range as its description; messages and the page for
 * operators show the same words.
 */

import {z} from 'zod';

const SECOND_MS = 1000;
const MINUTE_MS = 60 * SECOND_MS;
const UNIT_MS: Readonly<Record<string, number>> = {
  ms: 1,
  s: SECOND_MS,
  m: MINUTE_MS,
};

/** What `name()` accepts; the settings check ids by the same rule. */
const NAME = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;
const PATH = /^\/[A-Za-z0-9._~!@:+,=/-]{0,255}$/;
const NORMALIZED_SEGMENTS = /\/\/|\/\.{1,2}(\/|$)/;

type Reader<T> = (text: string) => T | undefined;

/** A schema that reads text and refuses what the reader cannot take. */
function field<T>(range: string, read: Reader<T>) {
  return z
    .string()
    .transform((text, ctx): T => {
      const value = read(text);
      if (value !== undefined) return value;
      ctx.addIssue({
        code: 'custom',
        message: `must be ${range}, not "${text}"`,
      });
      return z.NEVER;
    })
    .describe(range);
}

function within(value: number, low: number, high: number): number | undefined {
  return value >= low && value <= high ? value : undefined;
}

/** Name of a customer, pool or availability zone. */
export function name() {
  return field(
    'a name of letters, digits, ".", "_" and "-", 63 at most, starting with a letter or digit',
    text => (NAME.test(text) ? text : undefined)
  );
}

/** A path prefix. */
export function pathPrefix() {
  return field(
    'a path that starts with "/" and holds no "%", "//", "/./" or "/../", 256 characters at most',
    text =>
      PATH.test(text) && !NORMALIZED_SEGMENTS.test(text) ? text : undefined
  );
}

/** A whole number. */
export function integer(low: number, high: number) {
  return field(`a whole number from ${low} to ${high}`, text =>
    /^\d{1,15}$/.test(text) ? within(Number(text), low, high) : undefined
  );
}

/** A time such as `500ms`, `30s` or `2m`, in milliseconds. */
export function duration(low: string, high: string) {
  const lowMs = readDuration(low) ?? 0;
  const highMs = readDuration(high) ?? 0;
  return field(`a time from ${low} to ${high} (units ms, s, m)`, text => {
    const ms = readDuration(text);
    return ms === undefined ? undefined : within(ms, lowMs, highMs);
  });
}

/** A share such as `5%`, in percent. */
export function percent(low: number, high: number) {
  return field(`a percentage from ${low}% to ${high}%`, text => {
    const match = /^(\d{1,3}(?:\.\d{1,2})?)%$/.exec(text);
    return match === null ? undefined : within(Number(match[1]), low, high);
  });
}

/** One of a few words. */
export function oneOf<const T extends readonly string[]>(...words: T) {
  const quoted = words.map(word => `"${word}"`).join(', ');
  return field(`one of ${quoted}`, (text): T[number] | undefined =>
    words.find(word => word === text)
  );
}

function readDuration(text: string): number | undefined {
  const match = /^(\d{1,9})(ms|s|m)$/.exec(text);
  const unit = UNIT_MS[match?.[2] ?? ''];
  if (match === null || unit === undefined) return undefined;
  return Number(match[1]) * unit;
}

/** Prints milliseconds in the largest unit that loses nothing. */
export function printDuration(ms: number): string {
  if (ms >= MINUTE_MS && ms % MINUTE_MS === 0) return `${ms / MINUTE_MS}m`;
  if (ms >= SECOND_MS && ms % SECOND_MS === 0) return `${ms / SECOND_MS}s`;
  return `${ms}ms`;
}
