/** `entry`: runs the process that accepts requests from callers. */

import {EntryProcess} from '../entry/entryProcess';
import {runRole} from './roleCommand';

/** Runs an entry until it has drained. */
export function runEntry(argv: readonly string[]): Promise<number> {
  return runRole('entry', argv, ({settings, logger, metrics}) =>
    EntryProcess.start(settings, logger, metrics)
  );
}
