/** Refusals by the site document, which hold only while it is known to be current. */

import type {ClusterView} from '../cluster/clusterView';
import {noSiteRetryMs} from '../policy/admission/outageRetry';
import type {GatewayRefusal} from '../ports/callerPort';
import type {Gateway} from './gateway';
import type {RequestState} from './requestState';

/** A refusal that a newer document might not repeat. */
type SiteRefusal = Extract<
  GatewayRefusal,
  {readonly kind: 'unknownRoute' | 'unknownKey' | 'bodyTooLarge'}
>;

/**
 * The refusal by the document of this view. A newer document may be in force when no
 * leader has confirmed it lately; then nothing has run, and another node may serve.
 */
export function siteRefusal(
  gateway: Gateway,
  state: RequestState,
  view: ClusterView,
  refusal: SiteRefusal
): GatewayRefusal {
  const {maxSiteAgeMs, node, random} = gateway.parts;
  // The document may have been confirmed again while the body was read.
  const {view: latest = view} = gateway;
  const isSame = latest.index === view.index;
  const {confirmedAtMs = -Infinity} = isSame ? latest : view;
  if (performance.now() - confirmedAtMs <= maxSiteAgeMs) return refusal;
  state.refusalCause = {withheld: refusal.kind};
  const knowsLeader = node()?.knowsLeader === true;
  const {waitMs = Infinity} = state.caller;
  const retryInMs = noSiteRetryMs(knowsLeader, waitMs, random);
  return {kind: 'staleSite', retryInMs};
}
