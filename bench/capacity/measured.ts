/** Reads the measured figures that docs/CAPACITY.md is computed from. */

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

/** The output of `npm run bench -- --json`. */
export type Measured = z.infer<typeof MEASURED>;

/** Process roles of the measure `controlCost`. */
export type Role = 'entry' | 'agent' | 'leader' | 'follower';
/** Measured quantities of the measure `controlCost`. */
export type Quantity = 'processorPercent' | 'rssMb' | 'bytesPerS';

/** File with the output of the run, relative to the repository root. */
export const MEASURED_FILE = path.join('docs', 'measured', 'cost.json');

/** Reads and checks the file. */
export function readMeasured(root: string): Measured {
  const text = readFileSync(path.join(root, MEASURED_FILE), 'utf8');
  return MEASURED.parse(JSON.parse(text));
}

/** A figure by name; throws if it is missing. */
export function figure({ours}: Measured[keyof Measured], name: string): number {
  const value = ours[name];
  if (value === undefined) throw new Error(`no measured figure ${name}`);
  return value;
}

/** Whether a figure was measured without calls or under a small load. */
export type State = 'idle' | 'load';

/** The line fitted to a quantity over the number of agents. */
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

/** The measured numbers of agents, ascending. */
export function sizesOf({controlCost}: Measured): readonly number[] {
  return Object.keys(controlCost.ours)
    .map(name => /^agent\.idle\.rssMb\.at(\d+)$/.exec(name)?.[1])
    .filter(size => size !== undefined)
    .map(Number)
    .sort((a, b) => a - b);
}
