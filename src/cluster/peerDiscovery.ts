/**
 * Peer discovery through seeds. The leader announces itself to the seeds: a seed
 * without a disk has no log that names the leader, and other nodes could not
 * find the leader through it.
 */

import type {Logger} from '../core/logger';
import type {HelloReply} from './messages';
import {HELLO_REPLY, NODE_METHODS} from './messages';
import type {NodeDirectory} from './nodeDirectory';
import type {RpcClient} from './rpcClient';

/** A reply takes a few milliseconds; a frozen node never replies. */
const HELLO_TIMEOUT_MS = 500;
/** Peers probed at once while no leader is known. */
const CONCURRENT_PROBES = 3;
/** Interval between two announcements of the leader to the seeds. */
const SEED_ANNOUNCE_INTERVAL_MS = 500;

/** Probes peers and adds the nodes that they name to the directory. */
export class PeerDiscovery {
  private nextIndex = 0;
  private announcedAtMs = -Infinity;

  constructor(
    private readonly directory: NodeDirectory,
    private readonly rpc: RpcClient,
    private readonly logger: Logger,
    /** Called with the reply of a peer that was probed. */
    private readonly onReply: (ip: string, reply: HelloReply) => void = () =>
      undefined
  ) {}

  /** Queries some peers, in rotation, for the nodes that they know. */
  probePeers(): void {
    const addresses = this.directory.probeAddresses();
    const count = Math.min(CONCURRENT_PROBES, addresses.length);
    for (let i = 0; i < count; i++) {
      const ip = addresses[this.nextIndex++ % addresses.length];
      if (ip !== undefined) void this.findNodes(ip);
    }
  }

  /**
   * For the leader: announces this node to the seeds when due. The nodes that a
   * seed names are not added. The seed has them from the leader, and a lost node
   * would pass between the two forever; nodes that run report to the leader.
   */
  announceToSeeds(nowMs: number): void {
    if (nowMs - this.announcedAtMs < SEED_ANNOUNCE_INTERVAL_MS) return;
    this.announcedAtMs = nowMs;
    const {self} = this.directory;
    for (const ip of this.directory.seedAddresses())
      if (ip !== self.ip) void this.probe(ip, true);
  }

  private async findNodes(ip: string): Promise<void> {
    const reply = await this.probe(ip, false);
    if (reply === undefined) return;
    this.directory.addUnknown(reply.nodes);
    this.onReply(ip, reply);
  }

  private async probe(
    ip: string,
    leads: boolean
  ): Promise<HelloReply | undefined> {
    const params = {from: this.directory.self, leads};
    try {
      const result = await this.rpc.call(
        ip,
        NODE_METHODS.hello,
        params,
        HELLO_TIMEOUT_MS
      );
      const reply = HELLO_REPLY.parse(result);
      this.directory.markSeen([reply.self]);
      return reply;
    } catch (err) {
      this.logger.debug({event: 'node.silent', ip, err: String(err)}, ip);
      return undefined;
    }
  }
}
