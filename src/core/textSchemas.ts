/**
 * Values that people write in files: text on one side, typed on the other.
 * Each schema carries its accepted range as its description; messages and the
 * pages for operators show the same words.
 */

import * as z from 'zod';

const NAME = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

/** The value that a text stands for; undefined when it stands for none. */
export type TextReader<T> = (text: string) => T | undefined;

/** A schema that refuses what the reader cannot take, naming the range. */
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

/** The value when it lies in the range, both ends included. */
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

/** One of a few words. */
export function oneOf<const T extends readonly string[]>(...words: T) {
  const quoted = words.map(word => `"${word}"`).join(', ');
  return textSchema(`one of ${quoted}`, (text): T[number] | undefined =>
    words.find(word => word === text)
  );
}

/** The range of a schema, also of an optional one or one with a default. */
export function rangeOf(schema: z.ZodType): string {
  if (schema instanceof z.ZodOptional || schema instanceof z.ZodDefault)
    return rangeOf(schema.unwrap() as z.ZodType);
  return schema.description ?? '';
}
