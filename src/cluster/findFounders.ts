/**
 * Determines the first voters of the log when a deployment starts for the first
 * time: the seeds that have a disk. All nodes have the same seeds at that time,
 * so all of them choose the same founders, and only one group can form.
 */

import {firstValueFrom, timer} from 'rxjs';
import type {Logger} from '../core/logger';
import type {HelloReply} from './messages';
import {HELLO_REPLY, NODE_METHODS} from './messages';
import type {NodeDirectory} from './nodeDirectory';
import type {RpcClient} from './rpcClient';

/** Short, since founders start at about the same time, in any order. */
const RETRY_INTERVAL_MS = 150;
const HELLO_TIMEOUT_MS = 600;

/**
 * Resolves with the founders' addresses once every seed has responded, or without
 * any once the group exists: a seed may be gone for good then.
 */
export async function findFounders(
  directory: NodeDirectory,
  rpc: RpcClient,
  logger: Logger,
  isFounded: () => boolean
): Promise<readonly string[]> {
  const from = directory.self;
  while (!isFounded()) {
    const seeds = directory.seedAddresses();
    try {
      const replies = await Promise.all(
        seeds
          .filter(ip => ip !== from.ip)
          .map(async ip =>
            HELLO_REPLY.parse(
              await rpc.call(ip, NODE_METHODS.hello, {from}, HELLO_TIMEOUT_MS)
            )
          )
      );
      return foundersAmong(directory, seeds, replies);
    } catch (err) {
      logger.debug(
        {event: 'seeds.waiting', err: String(err)},
        'some seeds do not respond yet'
      );
      await firstValueFrom(timer(RETRY_INTERVAL_MS));
    }
  }
  return [];
}

function foundersAmong(
  directory: NodeDirectory,
  seeds: readonly string[],
  replies: readonly HelloReply[]
): readonly string[] {
  directory.markSeen(replies.flatMap(({self, nodes}) => [self, ...nodes]));
  const ipsWithDisk = new Set(
    replies.filter(({self}) => self.hasDisk).map(({self}) => self.ip)
  );
  if (directory.self.hasDisk) ipsWithDisk.add(directory.self.ip);
  return seeds.filter(ip => ipsWithDisk.has(ip)).sort();
}
