/** The logger of one call. */

import type {Logger} from '../core/logger';
import type {IdentifiedCall} from './call';
import type {EntryCore} from './entryCore';

/** Made when a line is written: most calls log nothing, and a child costs time. */
export function callLogger(
  {logger}: Pick<EntryCore, 'logger'>,
  {requestId, customer}: Pick<IdentifiedCall, 'requestId' | 'customer'>
): Logger {
  return logger.child({requestId, customer}, true);
}
