/** What went wrong with the instances that were asked, for the operator. */

import {PeerError, unreachable} from '../core/errors';
import {RPC_CODES} from '../rpc/peerServer';
import type {SilentInstance} from './controlClient';

/** What a fault says besides the step and the peer, which are shown anyway. */
function reasonOf(err: PeerError): string {
  return err.message.replace(`${err.step}: ${err.peer}: `, '');
}

/** Whether the peer can have taken a call that ended in this fault. */
function mayHaveTaken({fault}: PeerError): boolean {
  switch (fault.kind) {
    case 'unreachable':
    case 'version':
      return false;
    case 'lost':
    case 'timeout':
      return true;
    case 'rejected':
      // Any other rejection may come after the leader lost its majority.
      return fault.code !== RPC_CODES.notLeader;
    default:
      return unreachable(fault);
  }
}

/** Faults met so far, by instance. */
export class CallFaults {
  private readonly byId = new Map<string, string>();
  mayHaveTakenEffect = false;

  add(err: unknown): void {
    if (!(err instanceof PeerError)) throw err;
    this.mayHaveTakenEffect ||= mayHaveTaken(err);
    this.note(err);
  }

  /** A fault of a call that changes nothing. */
  note(err: PeerError): void {
    this.byId.set(err.peer, reasonOf(err));
  }

  list(): readonly SilentInstance[] {
    return [...this.byId].map(([id, reason]) => ({id, reason}));
  }
}
