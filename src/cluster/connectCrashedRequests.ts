/** Connects the requests under which targets crashed to those of the other nodes. */

import type {Logger} from '../core/logger';
import {CrashedRequests} from './crashedRequests';
import {CRASH_NOTICES_REPLY} from './crashNotices';
import {NODE_METHODS} from './messages';
import type {NodeDirectory} from './nodeDirectory';
import type {RpcClient} from './rpcClient';

/** A node that takes longer is frozen or cut off. */
const TIMEOUT_MS = 300;

/** Notices go to all nodes of the directory. */
export function connectCrashedRequests(
  rpc: RpcClient,
  directory: NodeDirectory,
  logger: Logger
): CrashedRequests {
  return new CrashedRequests({
    logger,
    nowMs: () => performance.now(),
    random: Math.random,
    peers: () => directory.otherAddresses(),
    send: async (ip, notices) => {
      const method = NODE_METHODS.crashNotices;
      const reply = await rpc.call(ip, method, notices, TIMEOUT_MS);
      return CRASH_NOTICES_REPLY.parse(reply);
    },
  });
}
