/**
 * The known nodes, discovered through seeds and through each other. Their number
 * is not configured, and machines come and go at new addresses.
 */

import type {LogPeer, LogPeers} from '../control/log/logOptions';
import type {NodeInfo} from './messages';

/** A node that was not seen for this long is dropped; seeds never are. */
const EXPIRE_AFTER_MS = 20_000;

interface KnownNode {
  readonly info: NodeInfo;
  readonly seenAtMs: number;
  /** Time of the last message that came from the node itself. */
  readonly contactAtMs?: number;
}

/** Known nodes by IP address. */
export class NodeDirectory implements LogPeers {
  private readonly nodes = new Map<string, KnownNode>();
  private readonly peers = new Map<string, LogPeer>();
  private lastRevision = 0;

  constructor(
    readonly self: NodeInfo,
    /** Addresses for the first contact; may change with the settings. */
    private seeds: readonly string[],
    private readonly connect: (ip: string) => LogPeer,
    private readonly nowMs: () => number
  ) {}

  /** Replaces the seeds after a change of settings. */
  setSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
  }

  /** The current seeds, this node included if it is one. */
  seedAddresses(): readonly string[] {
    return this.seeds;
  }

  /** Records that these nodes were seen just now. */
  markSeen(infos: readonly NodeInfo[]): void {
    for (const info of infos) {
      if (info.ip === this.self.ip) continue;
      if (!this.nodes.has(info.ip)) this.lastRevision++;
      const contactAtMs = this.nodes.get(info.ip)?.contactAtMs;
      this.nodes.set(info.ip, {info, seenAtMs: this.nowMs(), contactAtMs});
    }
  }

  /** Records a message that came from the node itself just now. */
  noteContact(info: NodeInfo): void {
    this.markSeen([info]);
    if (info.ip === this.self.ip) return;
    const nowMs = this.nowMs();
    this.nodes.set(info.ip, {info, seenAtMs: nowMs, contactAtMs: nowMs});
  }

  /** Time of the last message that came from the node itself, if any. */
  lastContactMs(ip: string): number | undefined {
    return this.nodes.get(ip)?.contactAtMs;
  }

  /** Zone of a known node, empty if it states none; undefined if unknown. */
  zoneOf(ip: string): string | undefined {
    const info = ip === this.self.ip ? this.self : this.nodes.get(ip)?.info;
    return info === undefined ? undefined : (info.availabilityZone ?? '');
  }

  /** Increases with each node that is added or dropped. */
  get revision(): number {
    this.evictExpired();
    return this.lastRevision;
  }

  /**
   * Adds nodes that another node named. It may have seen them long ago, so the
   * timestamps of known nodes stay.
   */
  addUnknown(infos: readonly NodeInfo[]): void {
    this.markSeen(infos.filter(({ip}) => !this.nodes.has(ip)));
  }

  /** All known nodes, this one included. */
  all(): readonly NodeInfo[] {
    this.evictExpired();
    return [this.self, ...[...this.nodes.values()].map(({info}) => info)];
  }

  /** The address of this node, and those of all known nodes with it. */
  addresses(): {readonly self: string; readonly all: readonly string[]} {
    return {self: this.self.ip, all: this.all().map(({ip}) => ip)};
  }

  /** Addresses of the other known nodes. */
  otherAddresses(): readonly string[] {
    this.evictExpired();
    return [...this.nodes.keys()];
  }

  /** Addresses of other nodes to try when the leader is not known. */
  probeAddresses(): readonly string[] {
    const known = this.all().map(({ip}) => ip);
    const ips = new Set([...this.seeds, ...known]);
    ips.delete(this.self.ip);
    return [...ips];
  }

  /** Other nodes with a disk. */
  ids(): readonly string[] {
    return this.all()
      .filter(({ip, hasDisk}) => hasDisk && ip !== this.self.ip)
      .map(({ip}) => ip);
  }

  /** Accepts any address: a voter may be known from the log alone. */
  find(ip: string): LogPeer | undefined {
    if (ip === this.self.ip) return undefined;
    const known = this.peers.get(ip);
    if (known !== undefined) return known;
    const peer = this.connect(ip);
    this.peers.set(ip, peer);
    return peer;
  }

  private evictExpired(): void {
    const oldest = this.nowMs() - EXPIRE_AFTER_MS;
    for (const [ip, {seenAtMs}] of this.nodes)
      if (seenAtMs < oldest && this.nodes.delete(ip)) this.lastRevision++;
  }
}
