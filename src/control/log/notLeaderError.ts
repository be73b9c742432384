/** Refusal of a call that only the leader can take. */

import {PeerError} from '../../core/errors';

/** Names the leader where this instance knows it. */
export class NotLeaderError extends PeerError {
  constructor(
    peer: string,
    readonly leaderId: string | undefined
  ) {
    super(
      {kind: 'rejected', code: 0},
      'propose',
      peer,
      `the leader is ${leaderId ?? 'unknown'}`
    );
    this.name = 'NotLeaderError';
  }
}
