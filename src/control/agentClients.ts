/** One client for each agent, at the address that it announced last. */

import type {Announcement} from '../core/wire';
import type {PeerClient, PeerClientFactory} from '../rpc/peerClient';

/** Clients by target. */
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
