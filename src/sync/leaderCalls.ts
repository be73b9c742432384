/** Calls to whichever control instance is the leader. */

import {PeerError} from '../core/errors';
import {PeerClient} from '../rpc/peerClient';
import {RPC_CODES} from '../rpc/peerServer';

/** Timeout of one attempt; exceeds the time of an election. */
const ATTEMPT_TIMEOUT_MS = 1_500;
const RETRY_DELAY_MS = 100;

/**
 * Finds the leader and retries a call until its deadline. Only for idempotent
 * methods: a reply may be lost after the call took effect.
 */
export class LeaderCalls {
  private leaderId: string | undefined;
  private term = 0;
  private nextIndex = 0;

  constructor(private readonly instances: readonly PeerClient[]) {}

  /**
   * Records the leader that an instance named for a term. A partitioned
   * instance keeps naming the old leader, so earlier terms are ignored.
   */
  noteLeader(leaderId: string, term: number): void {
    if (term < this.term) return;
    this.term = term;
    this.leaderId = leaderId;
  }

  /** Id of the instance believed to be the leader, if any. */
  get leaderHint(): string | undefined {
    return this.leaderId;
  }

  /** Resolves with the leader's reply; rejects with the last PeerError. */
  async call<R>(
    method: string,
    params: unknown,
    timeoutMs: number
  ): Promise<R> {
    const deadlineAt = performance.now() + timeoutMs;
    for (;;) {
      const leftMs = deadlineAt - performance.now();
      const instance = this.chooseInstance();
      try {
        return await instance.call<R>(
          method,
          params,
          Math.max(1, Math.min(ATTEMPT_TIMEOUT_MS, leftMs))
        );
      } catch (err) {
        if (!(err instanceof PeerError) || !this.handleFailure(err)) throw err;
        if (deadlineAt - performance.now() <= RETRY_DELAY_MS) throw err;
      }
      await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS));
    }
  }

  private chooseInstance(): PeerClient {
    const leader = this.instances.find(
      instance => instance.address.id === this.leaderId
    );
    const chosen =
      leader ?? this.instances[this.nextIndex++ % this.instances.length];
    if (chosen === undefined)
      throw new Error('no control instances are configured');
    return chosen;
  }

  /**
   * Updates the leader hint and returns whether the call may be retried. An
   * instance that rejects the call as not the leader, yet names itself, gives
   * no usable hint.
   */
  private handleFailure(err: PeerError): boolean {
    this.leaderId = undefined;
    const {fault} = err;
    if (fault.kind !== 'rejected') return fault.kind !== 'version';
    if (fault.code !== RPC_CODES.notLeader) return false;
    const data = fault.data as {readonly leaderId?: string} | undefined;
    this.leaderId = data?.leaderId === err.peer ? undefined : data?.leaderId;
    return true;
  }
}
