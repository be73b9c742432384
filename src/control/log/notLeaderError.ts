/** The answer of an instance that does not lead. */

import {PeerError} from '../../core/errors';

/** Code of the refusal, as PeerError carries it. */
export const NOT_LEADER_CODE = 421;

/** Nothing was proposed; the leader may be asked instead. */
export class NotLeaderError extends PeerError {
  constructor(
    step: string,
    readonly instanceId: string,
    /** Undefined while none is known. */
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
