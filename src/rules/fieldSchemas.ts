/**
 * Schemas of values that only rule files have: paths, durations and
 * percentages.
 */

import {textSchema, within} from '../core/textSchemas';

const SECOND_MS = 1000;
const MINUTE_MS = 60 * SECOND_MS;
const MS_PER_UNIT: Readonly<Record<string, number>> = {
  ms: 1,
  s: SECOND_MS,
  m: MINUTE_MS,
};

const PATH_PREFIX = /^\/[A-Za-z0-9._~!@:+,=/-]{0,255}$/;
const UNNORMALIZED_SEGMENT = /\/\/|\/\.{1,2}(\/|$)/;

/** Schema of a path prefix. */
export function pathPrefix() {
  return textSchema(
    'a path that starts with "/" and holds no "%", "//", "/./" or "/../", 256 characters at most',
    text =>
      PATH_PREFIX.test(text) && !UNNORMALIZED_SEGMENT.test(text)
        ? text
        : undefined
  );
}

/**
 * Schema of a duration such as `500ms`, `30s` or `2m`; its value is in
 * milliseconds.
 */
export function duration(low: string, high: string) {
  const lowMs = readDuration(low) ?? 0;
  const highMs = readDuration(high) ?? 0;
  return textSchema(`a time from ${low} to ${high} (units ms, s, m)`, text => {
    const ms = readDuration(text);
    return ms === undefined ? undefined : within(ms, lowMs, highMs);
  });
}

/** Schema of a percentage such as `5%`; its value is in percent. */
export function percent(low: number, high: number) {
  return textSchema(`a percentage from ${low}% to ${high}%`, text => {
    const match = /^(\d{1,3}(?:\.\d{1,2})?)%$/.exec(text);
    return match === null ? undefined : within(Number(match[1]), low, high);
  });
}

function readDuration(text: string): number | undefined {
  const match = /^(\d{1,9})(ms|s|m)$/.exec(text);
  const unit = MS_PER_UNIT[match?.[2] ?? ''];
  if (match === null || unit === undefined) return undefined;
  return Number(match[1]) * unit;
}

/** Formats milliseconds in the largest unit that is exact. */
export function printDuration(ms: number): string {
  if (ms >= MINUTE_MS && ms % MINUTE_MS === 0) return `${ms / MINUTE_MS}m`;
  if (ms >= SECOND_MS && ms % SECOND_MS === 0) return `${ms / SECOND_MS}s`;
  return `${ms}ms`;
}
