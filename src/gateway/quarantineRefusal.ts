/** Refusal of requests that crash targets, by themselves or by a part of their prompt. */

import type {Gateway} from './gateway';
import type {RequestState, RoutedRequest} from './requestState';

/** A quarantine lasts for minutes at least. */
export const QUARANTINE_RETRY_MS = 60_000;

/**
 * Whether several targets crashed under the request, over all tries of its caller, or a
 * part of its prompt is in quarantine; notes the cause.
 */
export function isQuarantined(
  {quarantine, crashedRequests}: Gateway,
  state: RequestState,
  {service}: RoutedRequest
): boolean {
  const {caller, requestTry} = state;
  if (crashedRequests?.isExhausted(requestTry) === true) {
    const crashes = crashedRequests.crashCount(requestTry.digest);
    state.refusalCause = {service: service.name, crashes};
    return true;
  }
  return quarantine?.blocks(service.name, caller.sharedParts) === true;
}

/**
 * Cancels a request when a part of its prompt gets into quarantine, until the returned
 * function is called: also one that a target has, which it may crash. A stream that has
 * begun goes on.
 */
export function cancelIfQuarantined(
  {quarantine}: Gateway,
  state: RequestState,
  {service}: RoutedRequest
): () => void {
  const {sharedParts} = state.caller;
  if (quarantine === undefined || sharedParts.length === 0)
    return () => undefined;
  const subscription = quarantine.began$.subscribe(({service: name, part}) => {
    if (name !== service.name || !sharedParts.includes(part)) return;
    if (state.eventCount === 0) state.quarantine();
  });
  return () => subscription.unsubscribe();
}
