/** Learns how long responses are, for the estimate of later ones. */

import type {Gateway} from './gateway';
import type {RequestState, RoutedRequest} from './requestState';

/** Each token is one event; a stream that the caller resumed is not whole. */
export function recordLength(
  gateway: Gateway,
  state: RequestState,
  routed: RoutedRequest
): void {
  const {expectedOutputTokens, lastEventId} = state.caller;
  if (routed.urgencyRank === undefined || lastEventId !== undefined) return;
  const {lengths} = gateway.pool(routed.service.name);
  lengths.record(routed.route.name, expectedOutputTokens, state.eventCount);
}
