/**
 * Collects the failed calls to control instances, for the report to the
 * operator.
 */

import {PeerError, unreachable} from '../core/errors';
import {RPC_CODES} from '../rpc/peerServer';
import type {FailedInstance} from './controlClient';

/**
 * The error message without its method and peer, which are printed separately.
 */
function reasonOf(err: PeerError): string {
  return err.message.replace(`${err.step}: ${err.peer}: `, '');
}

/** Whether the peer may have applied a call that failed with this error. */
function couldHaveTakenEffect({fault}: PeerError): boolean {
  switch (fault.kind) {
    case 'unreachable':
    case 'version':
      return false;
    case 'lost':
    case 'timeout':
      return true;
    case 'rejected':
      // Any other rejection may come from a leader that lost its majority after
      // it had proposed the change, which can still be committed.
      return fault.code !== RPC_CODES.notLeader;
    default:
      return unreachable(fault);
  }
}

/** The latest failure of each instance. */
export class CallFaults {
  private readonly reasonById = new Map<string, string>();
  mayHaveTakenEffect = false;

  /**
   * Records a failed call that may change state; rethrows any other error than
   * a PeerError.
   */
  recordCallFailure(err: unknown): void {
    if (!(err instanceof PeerError)) throw err;
    this.mayHaveTakenEffect ||= couldHaveTakenEffect(err);
    this.recordProbeFailure(err);
  }

  /** Records a failed status query, which has no side effects. */
  recordProbeFailure(err: PeerError): void {
    this.reasonById.set(err.peer, reasonOf(err));
  }

  list(): readonly FailedInstance[] {
    return [...this.reasonById].map(([id, reason]) => ({id, reason}));
  }
}
