/** Error of an operation that only the leader can perform. */

import {PeerError} from '../../core/errors';

/** Code of the `rejected` fault in the PeerError. */
export const NOT_LEADER_CODE = 421;

/** The operation had no effect; it can be retried at the leader. */
export class NotLeaderError extends PeerError {
  constructor(
    step: string,
    readonly instanceId: string,
    /** Undefined while no leader is known. */
    readonly leaderId: string | undefined
  ) {
    super(
      {kind: 'rejected', code: NOT_LEADER_CODE},
      step,
      instanceId,
      leaderId === undefined
        ? 'no leader is known'
        : `the leader is ${leaderId}`
    );
    this.name = 'NotLeaderError';
  }
}
