/** The methods that a node offers to other nodes. */

import * as z from 'zod';
import type {CrashedRequests} from './crashedRequests';
import {CRASH_NOTICES} from './crashNotices';
import type {LeaderClient} from './leaderClient';
import type {LeaderService} from './leaderService';
import type {LogReplica} from './logReplica';
import {
  HELLO_PARAMS,
  NODE_METHODS,
  PROPOSE_PARAMS,
  READ_COMMITTED_PARAMS,
  READ_SITE_PARAMS,
  SYNC_PARAMS,
} from './messages';
import type {NodeDirectory} from './nodeDirectory';
import type {NodeSync} from './nodeSync';
import {QUARANTINE_CHANGE} from './quarantineMessages';
import {RecordPacker} from './packedRecords';
import type {RpcServer} from './rpcServer';

/** What the methods read and change. */
export interface NodeMethodParts {
  readonly directory: NodeDirectory;
  readonly leaderClient: LeaderClient;
  readonly leaderService: LeaderService;
  readonly committed: Pick<NodeSync, 'committed' | 'readCommitted'>;
  readonly crashedRequests: CrashedRequests;
  replica(): LogReplica | undefined;
}

/** Registers the methods; their parameters are validated by schemas. */
export function serveNodeMethods(
  server: RpcServer,
  {
    directory,
    leaderClient,
    leaderService,
    committed,
    crashedRequests,
    replica,
  }: NodeMethodParts
): void {
  server.addMethod(NODE_METHODS.hello, HELLO_PARAMS, async ({from, leads}) => {
    directory.markSeen([from]);
    leaderClient.noteContact(from.ip);
    if (leads === true) leaderClient.noteLeader(from.ip);
    const {leader} = leaderClient;
    const nodes = directory.all();
    return {
      self: directory.self,
      nodes,
      leader,
      committed: committed.committed,
    };
  });
  const logParams = z.object({message: z.unknown()});
  server.addMethod(NODE_METHODS.log, logParams, async ({message}) => {
    const log = replica()?.current?.log;
    if (log === undefined) throw new Error('no log here');
    return log.receive(message);
  });
  const packer = new RecordPacker();
  server.addMethod(NODE_METHODS.sync, SYNC_PARAMS, async params => {
    leaderClient.noteContact(params.from.ip);
    return packer.pack(await leaderService.sync(params), params);
  });
  server.addMethod(NODE_METHODS.propose, PROPOSE_PARAMS, ({command}) =>
    leaderService.handleProposal(command)
  );
  server.addMethod(NODE_METHODS.readSite, READ_SITE_PARAMS, ({heldVersion}) =>
    leaderService.handleReadSite(heldVersion)
  );
  server.addMethod(NODE_METHODS.quarantine, QUARANTINE_CHANGE, async change =>
    leaderService.changeQuarantine(change)
  );
  server.addMethod(NODE_METHODS.crashNotices, CRASH_NOTICES, notices =>
    crashedRequests.handle(notices)
  );
  server.addMethod(
    NODE_METHODS.readCommitted,
    READ_COMMITTED_PARAMS,
    async params => committed.readCommitted(params)
  );
}
