/** Relays calls from the leader to ranks near this node. */

import {unpackText} from '../site/packText';
import type {RankCall} from '../ports/rankPort';
import type {OnRankResponse} from './rankClient';
import {callRank} from './rankClient';
import type {RelayParams, RelayReply} from './relayMessages';

/**
 * Calls the ranks and collects their responses. Only addresses of targets that
 * this node knows are called.
 */
export async function relayToRanks(
  params: RelayParams,
  knownAddresses: ReadonlySet<string>,
  onResponse: OnRankResponse
): Promise<RelayReply> {
  const {method, path, packedBody, addresses, limitMs} = params;
  const body = packedBody === undefined ? undefined : unpackText(packedBody);
  const call: RankCall = {method, path, body};
  const answers = await Promise.all(
    addresses.map(async address =>
      knownAddresses.has(address)
        ? ((await callRank(address, call, limitMs, onResponse)) ?? null)
        : null
    )
  );
  return {answers};
}
