/** Creates the logger of one call. */

import type {Logger} from '../core/logger';
import type {IdentifiedCall} from './call';
import type {EntryCore} from './entryCore';

/**
 * Call it only where a line is written: most calls log nothing, and creating a
 * child logger takes time.
 */
export function callLogger(
  {logger}: Pick<EntryCore, 'logger'>,
  {requestId, customer}: Pick<IdentifiedCall, 'requestId' | 'customer'>
): Logger {
  return logger.child({requestId, customer}, true);
}
