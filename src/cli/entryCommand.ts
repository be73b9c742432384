/** `entry`: the process that callers reach. */

import {EntryProcess} from '../entry/entryProcess';
import {runRole} from './roleCommand';

/** Runs an entry. */
export function runEntry(argv: readonly string[]): Promise<number> {
  return runRole('entry', argv, ({settings, logger, metrics}) =>
    EntryProcess.start(settings, logger, metrics)
  );
}
