/** RPC clients to agents, each at the address that its agent announced last. */

import type {Announcement} from '../core/wire';
import type {PeerClient, PeerClientFactory} from '../rpc/peerClient';

/** Keeps one client per target and replaces it when the address changes. */
export class AgentClients {
  private readonly clients = new Map<string, PeerClient>();

  constructor(private readonly connect: PeerClientFactory) {}

  clientFor({
    targetId,
    host,
    port,
  }: Pick<Announcement, 'targetId' | 'host' | 'port'>): PeerClient {
    const known = this.clients.get(targetId);
    if (known?.address.host === host && known.address.port === port)
      return known;
    const client = this.connect({id: targetId, host, port});
    this.clients.set(targetId, client);
    return client;
  }
}
