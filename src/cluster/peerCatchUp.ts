/**
 * Takes committed state from peers while no leader replies. The last change reaches
 * a node by the reply to its next report, which a lost leader no longer sends.
 */

import type {Logger} from '../core/logger';
import type {
  CommittedPosition,
  CommittedState,
  ReadCommittedParams,
} from './messages';
import {NODE_METHODS, READ_COMMITTED_REPLY} from './messages';
import type {RpcClient} from './rpcClient';

/** Long enough for a document of 16 MB. */
const FETCH_TIMEOUT_MS = 2_500;

/** The committed state of this node. */
export interface CommittedStateHolder {
  readonly siteVersion: number;
  /** Whether this state is newer than the node's, and may replace it. */
  wants(offer: CommittedPosition): boolean;
  /** Takes the state if it is still wanted; returns whether it did. */
  adopt(state: CommittedState): boolean;
}

/** Fetches newer state from one peer at a time. */
export class PeerCatchUp {
  private isFetching = false;

  constructor(
    private readonly holder: CommittedStateHolder,
    private readonly rpc: RpcClient,
    private readonly logger: Logger
  ) {}

  /** Fetches the state that a peer offers, if it is newer; never rejects. */
  async handleOffer(ip: string, offer: CommittedPosition): Promise<void> {
    if (this.isFetching || !this.holder.wants(offer)) return;
    this.isFetching = true;
    try {
      await this.fetch(ip);
    } catch (err) {
      this.logger.debug({event: 'site.unfetched', ip, err: String(err)}, ip);
    } finally {
      this.isFetching = false;
    }
  }

  private async fetch(ip: string): Promise<void> {
    const params: ReadCommittedParams = {heldVersion: this.holder.siteVersion};
    const method = NODE_METHODS.readCommitted;
    const result = await this.rpc.call(ip, method, params, FETCH_TIMEOUT_MS);
    const reply = READ_COMMITTED_REPLY.parse(result);
    if (reply.kind === 'none' || !this.holder.adopt(reply)) return;
    const {index, siteVersion: version} = reply;
    this.logger.info(
      {event: 'site.adopted', ip, version, index},
      `took the state of log index ${index} from node ${ip}`
    );
  }
}
