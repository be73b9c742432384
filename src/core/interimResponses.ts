/** Bounds the interim responses (1xx) to one request. */

import type {ClientRequest} from 'node:http';

/** Peers send one or two, such as 102 or 103. */
const MAX_INTERIM_RESPONSES = 16;

/** Calls `onExceeded` for a peer that sends them without end. */
export function limitInterimResponses(
  req: ClientRequest,
  onExceeded: (reason: string) => void
): void {
  let count = 0;
  req.on('information', () => {
    if (++count === MAX_INTERIM_RESPONSES + 1)
      onExceeded('too many interim responses');
  });
}
