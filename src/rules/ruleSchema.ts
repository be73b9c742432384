/** Schema of the lines of a rule file, as a union over their first words. */

import * as z from 'zod';
import {integer, name, oneOf, rangeOf} from '../core/textSchemas';
import {duration, pathPrefix, percent} from './fieldSchemas';

/**
 * The values of a line, discriminated by its first word, with keys as in the
 * file.
 */
export const RULE_SCHEMA = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('revision'),
    number: integer(1, 999_999_999),
  }),
  z.strictObject({
    kind: z.literal('pool'),
    pool: name(),
    targets: oneOf('engine', 'service'),
  }),
  z.strictObject({
    kind: z.literal('route'),
    customer: name(),
    path: pathPrefix(),
    pool: name(),
    weight: integer(0, 1000).optional(),
  }),
  z.strictObject({
    kind: z.literal('customer'),
    customer: name(),
    share: integer(1, 1000),
    concurrent: integer(1, 100_000).optional(),
    queue: integer(0, 100_000).optional(),
  }),
  z.strictObject({
    kind: z.literal('once'),
    method: oneOf('GET', 'POST', 'PUT', 'PATCH', 'DELETE'),
    path: pathPrefix(),
    key: oneOf('required', 'optional'),
  }),
  z.strictObject({
    kind: z.literal('warmup'),
    pool: name(),
    start: integer(1, 10_000),
    full: integer(1, 10_000),
    over: duration('1s', '60m'),
  }),
  z.strictObject({
    kind: z.literal('limit'),
    pool: name(),
    timeout: duration('100ms', '60m').optional(),
    'first-token': duration('10ms', '10m').optional(),
    attempts: integer(1, 10).optional(),
    'retry-budget': percent(0, 100).optional(),
    'hedge-after': duration('10ms', '10m').optional(),
  }),
  z.strictObject({
    kind: z.literal('zone'),
    zone: name(),
    state: oneOf('in', 'out'),
  }),
  z.strictObject({
    kind: z.literal('rebalance'),
    pool: name(),
    state: oneOf('on', 'off'),
    gain: percent(0, 100).optional(),
  }),
  z.strictObject({
    kind: z.literal('serve'),
    pool: name(),
    model: name(),
    version: name(),
    min: integer(1, 10_000),
    max: integer(1, 10_000),
  }),
]);

/** The parsed values of a line, with keys as in the file. */
export type RuleValues = z.infer<typeof RULE_SCHEMA>;

/** The first word of a line. */
export type RuleKeyword = RuleValues['kind'];

/** Keys whose values are positional instead of `key=value`, in order. */
export const POSITIONAL_KEYS: Readonly<Record<RuleKeyword, readonly string[]>> =
  {
    revision: ['number'],
    pool: ['pool', 'targets'],
    route: [],
    customer: ['customer'],
    once: ['method', 'path'],
    warmup: ['pool'],
    limit: ['pool'],
    zone: ['zone', 'state'],
    rebalance: ['pool', 'state'],
    serve: ['pool', 'model'],
  };

/**
 * Describes a value of a line, for problems and for the operator documentation.
 */
export interface RuleField {
  readonly key: string;
  readonly positional: boolean;
  readonly optional: boolean;
  /** The accepted values, as text. */
  readonly range: string;
}

function describeFields(
  lineSchema: (typeof RULE_SCHEMA.options)[number]
): readonly [RuleKeyword, readonly RuleField[]] {
  const keyword = lineSchema.shape.kind.value;
  const fields = Object.entries(lineSchema.shape as Record<string, z.ZodType>)
    .filter(([key]) => key !== 'kind')
    .map(([key, schema]) => ({
      key,
      positional: POSITIONAL_KEYS[keyword].includes(key),
      optional: schema instanceof z.ZodOptional,
      range: rangeOf(schema),
    }));
  return [keyword, fields];
}

/** Fields of each kind of line, in the order in which they are printed. */
export const RULE_FIELDS: ReadonlyMap<string, readonly RuleField[]> = new Map(
  RULE_SCHEMA.options.map(describeFields)
);
