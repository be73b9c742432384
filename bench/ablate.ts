/**
 * `npm run ablate -- NAME DIR` removes one mechanism from the checkout DIR, to
 * compare simulated days with and without it. Without arguments it lists the
 * mechanisms, which are defined in bench/ablations.json.
 */

import {readFileSync} from 'node:fs';
import * as z from 'zod';
import {TEXT_CHANGE, changeText} from './textChange';

const ABLATION = z.strictObject({
  name: z.string(),
  /** Behavior of the nodes without the mechanism. */
  without: z.string(),
  changes: z.array(TEXT_CHANGE).nonempty(),
});

const ABLATIONS = z
  .array(ABLATION)
  .parse(JSON.parse(readFileSync('bench/ablations.json', 'utf8')));

function main([name, dir]: readonly string[]): number {
  if (name === undefined) {
    for (const {name, without} of ABLATIONS)
      process.stdout.write(`${name.padEnd(20)}  ${without}\n`);
    return 0;
  }
  const ablation = ABLATIONS.find(ablation => ablation.name === name);
  if (ablation === undefined || dir === undefined) {
    process.stderr.write('NAME of the list and DIR are needed\n');
    return 2;
  }
  for (const change of ablation.changes) {
    const undo = changeText(dir, change);
    if (typeof undo !== 'string') continue;
    process.stderr.write(`${undo}\n`);
    return 1;
  }
  process.stdout.write(`${dir}: ${ablation.without}\n`);
  return 0;
}

process.exitCode = main(process.argv.slice(2));
