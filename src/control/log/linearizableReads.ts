/**
 * Linearizable reads. The leader confirms its leadership with a quorum. A
 * follower requests a read index from the leader and waits until it has applied
 * the log up to that index.
 */

import {PeerError} from '../../core/errors';
import type {LogPeer, LogPeers} from './logOptions';
import type {LogApplier} from './logApplier';
import type {PeerReply, PeerRequest} from './messages';
import {PEER_REPLY} from './messages';
import {NotLeaderError} from './notLeaderError';
import type {PendingCalls} from './pendingCalls';
import type {LogStatus} from './replicatedLog';

const APPLY_TIMEOUT_MS = 3000;

/** Dependencies of the reads. */
export interface LinearizableReadsOptions {
  readonly instanceId: string;
  readonly peers: LogPeers;
  readonly calls: PendingCalls;
  readonly applier: LogApplier;
  status(): LogStatus;
  /** Starts a read barrier in the core; its result resolves in `calls`. */
  startBarrier(ticket: number): void;
}

/** Read barriers for local callers, and read indexes for followers. */
export class LinearizableReads {
  constructor(private readonly options: LinearizableReadsOptions) {}

  /**
   * Resolves once all entries committed before the call are applied locally.
   */
  async readBarrier(): Promise<void> {
    const {instanceId, peers} = this.options;
    const {role, leaderId} = this.options.status();
    if (role === 'leader') {
      await this.leaderBarrier();
      return;
    }
    const leader = leaderId === undefined ? undefined : peers.find(leaderId);
    if (leader === undefined)
      throw new NotLeaderError('readBarrier', instanceId, leaderId);
    const index = await this.requestReadIndex(leader);
    await this.waitUntilApplied(index);
  }

  /** The reply to a follower's request for a read index. */
  async answer(): Promise<PeerReply> {
    try {
      return {kind: 'readIndex', index: await this.leaderBarrier()};
    } catch (err) {
      if (!(err instanceof NotLeaderError)) throw err;
      return {kind: 'notLeader', leaderId: err.leaderId};
    }
  }

  private leaderBarrier(): Promise<number> {
    return this.options.calls.barrier(ticket =>
      this.options.startBarrier(ticket)
    );
  }

  private async requestReadIndex(leader: LogPeer): Promise<number> {
    const {instanceId} = this.options;
    const message: PeerRequest = {kind: 'readIndex', from: instanceId};
    const reply = PEER_REPLY.parse(await leader.send(message));
    if (reply.kind === 'readIndex') return reply.index;
    const leaderId = reply.kind === 'notLeader' ? reply.leaderId : undefined;
    throw new NotLeaderError('readBarrier', instanceId, leaderId);
  }

  private async waitUntilApplied(index: number): Promise<void> {
    const {applier, calls, instanceId} = this.options;
    if (index <= applier.appliedIndex) return;
    const timeoutError = new PeerError(
      {kind: 'timeout'},
      'readBarrier',
      instanceId,
      `entry ${index} did not come`
    );
    await calls.untilApplied(index, APPLY_TIMEOUT_MS, timeoutError);
  }
}
