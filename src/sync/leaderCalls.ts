/** Calls that only the leading control instance can answer. */

import {PeerError} from '../core/errors';
import {PeerClient} from '../rpc/peerClient';
import {RPC_CODES} from '../rpc/peerServer';

/** Time for one attempt; elections take about a second. */
const ATTEMPT_MS = 1_500;
const PAUSE_MS = 100;

/**
 * Finds the leader and repeats a call until its deadline. Only for methods
 * that are idempotent: an answer may be lost after the call took effect.
 */
export class LeaderCalls {
  private leaderId: string | undefined;
  private term = 0;
  private next = 0;

  constructor(private readonly instances: readonly PeerClient[]) {}

  /**
   * Some instance named the leader of a term. An instance that is cut off
   * names the old leader for ever, so an earlier term is ignored.
   */
  hint(leaderId: string, term: number): void {
    if (term < this.term) return;
    this.term = term;
    this.leaderId = leaderId;
  }

  /** The instance that was last named as leader, if any. */
  get known(): string | undefined {
    return this.leaderId;
  }

  /** Resolves with the leader's answer; rejects with the last PeerError. */
  async call<R>(
    method: string,
    params: unknown,
    timeoutMs: number
  ): Promise<R> {
    const deadlineAt = performance.now() + timeoutMs;
    for (;;) {
      const leftMs = deadlineAt - performance.now();
      const instance = this.choose();
      try {
        return await instance.call<R>(
          method,
          params,
          Math.max(1, Math.min(ATTEMPT_MS, leftMs))
        );
      } catch (err) {
        if (!(err instanceof PeerError) || !this.mayRepeat(err)) throw err;
        if (deadlineAt - performance.now() <= PAUSE_MS) throw err;
      }
      await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
    }
  }

  private choose(): PeerClient {
    const led = this.instances.find(one => one.address.id === this.leaderId);
    const chosen = led ?? this.instances[this.next++ % this.instances.length];
    if (chosen === undefined)
      throw new Error('no control instances are configured');
    return chosen;
  }

  private mayRepeat(err: PeerError): boolean {
    this.leaderId = undefined;
    const {fault} = err;
    if (fault.kind !== 'rejected') return fault.kind !== 'version';
    if (fault.code !== RPC_CODES.notLeader) return false;
    const data = fault.data as {readonly leaderId?: string} | undefined;
    this.leaderId = data?.leaderId === err.peer ? undefined : data?.leaderId;
    return true;
  }
}
