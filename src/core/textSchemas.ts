/**
 * Schemas of the values in settings and rule files, which turn text into typed
 * values. The description of each schema is its accepted range, which error
 * messages and the pages for operators show alike.
 */

import * as z from 'zod';

const NAME = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

/** Parses a text; undefined when it is not a valid value. */
export type TextReader<T> = (text: string) => T | undefined;

/** A schema that fails with the range when the reader returns undefined. */
export function textSchema<T>(range: string, read: TextReader<T>) {
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

/** Returns the value if it lies in the range, which includes both ends. */
export function within(
  value: number,
  low: number,
  high: number
): number | undefined {
  return value >= low && value <= high ? value : undefined;
}

/** Name of a process, customer, pool or availability zone. */
export function name() {
  return textSchema(
    'a name of letters, digits, ".", "_" and "-", 63 at most, starting with a letter or digit',
    text => (NAME.test(text) ? text : undefined)
  );
}

/** A whole number. */
export function integer(low: number, high: number) {
  return textSchema(`a whole number from ${low} to ${high}`, text =>
    /^\d{1,15}$/.test(text) ? within(Number(text), low, high) : undefined
  );
}

/** A whole number that may be left empty, which reads as 0. */
export function integerOrNothing(low: number, high: number) {
  return textSchema(
    `0, nothing, or a whole number from ${low} to ${high}`,
    text => {
      if (text === '' || text === '0') return 0;
      return /^\d{1,15}$/.test(text)
        ? within(Number(text), low, high)
        : undefined;
    }
  );
}

/** One of a few words. */
export function oneOf<const T extends readonly string[]>(...words: T) {
  const quoted = words.map(word => `"${word}"`).join(', ');
  return textSchema(`one of ${quoted}`, (text): T[number] | undefined =>
    words.find(word => word === text)
  );
}

/** Returns the range of a schema, which may be optional or have a default. */
export function rangeOf(schema: z.ZodType): string {
  if (schema instanceof z.ZodOptional || schema instanceof z.ZodDefault)
    return rangeOf(schema.unwrap() as z.ZodType);
  return schema.description ?? '';
}
