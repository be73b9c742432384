/** Ends a target's response when its request is cancelled. */

import type {IncomingMessage} from 'node:http';
import type {CancelSignal} from '../core/cancellation';

/** Closes the connection when the signal fires, until the returned call. */
export function closeOnCancel(
  signal: CancelSignal,
  res: IncomingMessage
): () => void {
  const onCancel = () => res.destroy();
  signal.addEventListener('abort', onCancel);
  return () => signal.removeEventListener('abort', onCancel);
}
