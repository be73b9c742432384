/** The measured file that docs/CAPACITY.md is worked out from. */

import {readFileSync} from 'node:fs';
import path from 'node:path';
import * as z from 'zod';
import type {Line} from './leastSquares';

const RESULT = z.object({
  ours: z.record(z.string(), z.number()),
  baselines: z.record(z.string(), z.record(z.string(), z.number())),
  met: z.boolean(),
  cause: z.string().optional(),
});

const MEASURED = z.object({
  entryOverhead: RESULT,
  controlCost: RESULT,
  bounds: RESULT,
});

/** What `npm run bench -- --json` printed. */
export type Measured = z.infer<typeof MEASURED>;

/** Roles of the measure `controlCost`. */
export type Role = 'entry' | 'agent' | 'leader' | 'follower';
/** Quantities of the measure `controlCost`. */
export type Quantity = 'processorPercent' | 'rssMb' | 'bytesPerS';

/** Where the output of the run is kept, below the root. */
export const MEASURED_FILE = path.join('docs', 'measured', 'cost.json');

/** Reads and checks the file. */
export function readMeasured(root: string): Measured {
  const text = readFileSync(path.join(root, MEASURED_FILE), 'utf8');
  return MEASURED.parse(JSON.parse(text));
}

/** A figure that has to be there. */
export function figure({ours}: Measured[keyof Measured], name: string): number {
  const value = ours[name];
  if (value === undefined) throw new Error(`no measured figure ${name}`);
  return value;
}

/** Without calls, or under the small load of the measure. */
export type State = 'idle' | 'load';

/** The measured line over the number of agents. */
export function lineOf(
  {controlCost}: Measured,
  role: Role,
  quantity: Quantity,
  state: State
): Line {
  const name = `${role}.${state}.${quantity}`;
  return {
    slope: figure(controlCost, `${name}.slope`),
    intercept: figure(controlCost, `${name}.intercept`),
    r2: figure(controlCost, `${name}.r2`),
  };
}

/** The numbers of agents that were measured, ascending. */
export function sizesOf({controlCost}: Measured): readonly number[] {
  return Object.keys(controlCost.ours)
    .map(name => /^agent\.idle\.rssMb\.at(\d+)$/.exec(name)?.[1])
    .filter(size => size !== undefined)
    .map(Number)
    .sort((a, b) => a - b);
}
