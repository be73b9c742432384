/** Calls to the log that fail with an RPC error naming the leader elsewhere. */

import {NotLeaderError} from '../log/notLeaderError';
import type {ReplicatedLog} from '../log/replicatedLog';
import type {Command, CommandResult} from '../state/command';
import {RPC_CODES, RpcFailure} from '../../rpc/peerServer';

/** The result of a command, narrowed to the kind that was proposed. */
export type ResultOf<K extends CommandResult['command']> = Extract<
  CommandResult,
  {readonly command: K}
>;

/** Proposes a command; rejects with RpcFailure `notLeader` on a follower. */
export async function proposeCommand<C extends Command>(
  log: ReplicatedLog,
  command: C
): Promise<ResultOf<C['kind']>> {
  try {
    return (await log.propose(command)) as ResultOf<C['kind']>;
  } catch (err) {
    throw toRpcFailure(err);
  }
}

/** Waits until everything committed before the call is applied here. */
export async function awaitReadBarrier(log: ReplicatedLog): Promise<void> {
  try {
    await log.readBarrier();
  } catch (err) {
    throw toRpcFailure(err);
  }
}

function toRpcFailure(err: unknown): unknown {
  if (!(err instanceof NotLeaderError)) return err;
  const {leaderId} = err;
  return new RpcFailure(RPC_CODES.notLeader, err.message, {leaderId});
}
