/**
 * Linearizable reads of one instance: the leader's own, and those of a follower
 * that asks the leader for the index to read at and waits until it has that.
 */

import {PeerError} from '../../core/errors';
import type {LogPeer, LogPeers} from './logOptions';
import type {LogApplier} from './logApplier';
import type {PeerReply, PeerRequest} from './messages';
import {PEER_REPLY} from './messages';
import {NotLeaderError} from './notLeaderError';
import type {PendingCalls} from './pendingCalls';
import type {LogStatus} from './replicatedLog';

const READ_TIMEOUT_MS = 3000;

/** What reads need of the log. */
export interface LinearReadsParts {
  readonly instanceId: string;
  readonly peers: LogPeers;
  readonly calls: PendingCalls;
  readonly applier: LogApplier;
  status(): LogStatus;
  /** Puts a barrier to the core; `calls` settles it. */
  begin(ticket: number): void;
}

/** Barriers for callers here, and indices for followers that ask. */
export class LinearReads {
  constructor(private readonly parts: LinearReadsParts) {}

  /** Resolves when a read here shows all that was committed before the call. */
  async readBarrier(): Promise<void> {
    const {instanceId, peers} = this.parts;
    const {role, leaderId} = this.parts.status();
    if (role === 'leader') {
      await this.leaderBarrier();
      return;
    }
    const leader = leaderId === undefined ? undefined : peers.find(leaderId);
    if (leader === undefined)
      throw new NotLeaderError('readBarrier', instanceId, leaderId);
    const index = await this.askIndex(leader);
    await this.waitApplied(index);
  }

  /** The answer to a follower that asks for an index. */
  async answer(): Promise<PeerReply> {
    try {
      return {kind: 'readIndex', index: await this.leaderBarrier()};
    } catch (err) {
      if (!(err instanceof NotLeaderError)) throw err;
      return {kind: 'notLeader', leaderId: err.leaderId};
    }
  }

  private leaderBarrier(): Promise<number> {
    return this.parts.calls.barrier(ticket => this.parts.begin(ticket));
  }

  private async askIndex(leader: LogPeer): Promise<number> {
    const {instanceId} = this.parts;
    const message: PeerRequest = {kind: 'readIndex', from: instanceId};
    const reply = PEER_REPLY.parse(await leader.send(message));
    if (reply.kind === 'readIndex') return reply.index;
    const leaderId = reply.kind === 'notLeader' ? reply.leaderId : undefined;
    throw new NotLeaderError('readBarrier', instanceId, leaderId);
  }

  private async waitApplied(index: number): Promise<void> {
    const {applier, calls, instanceId} = this.parts;
    if (index <= applier.appliedIndex) return;
    const late = new PeerError(
      {kind: 'timeout'},
      'readBarrier',
      instanceId,
      `entry ${index} did not come`
    );
    await calls.applied(index, READ_TIMEOUT_MS, late);
  }
}
