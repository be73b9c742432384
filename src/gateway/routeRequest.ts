/** Finds the route, the customer and the service of a request. */

import type {CallerRequest} from '../ports/callerPort';
import type {SiteCustomer, SiteRoute, SiteService} from '../site/site';
import type {SiteIndex} from '../site/siteIndex';

/** The route of a request, or why it is refused. */
export type RouteResult =
  | {
      readonly kind: 'routed';
      readonly route: SiteRoute;
      readonly service: SiteService;
      readonly customer?: SiteCustomer;
    }
  | {
      readonly kind: 'refused';
      readonly refusal: {readonly kind: 'unknownRoute' | 'unknownKey'};
    };

/** Routes by one version of the site; `random` returns a number in [0, 1). */
export function routeRequest(
  index: SiteIndex,
  caller: CallerRequest,
  random: () => number
): RouteResult {
  const route = index.findRoute(caller.host, caller.path);
  if (route === undefined) return refused('unknownRoute');
  const customer =
    caller.key === undefined ? undefined : index.findCustomer(caller.key);
  const needsKey = index.requiresKeys && !route.isPublic;
  if (needsKey && customer === undefined) return refused('unknownKey');
  const service = index.site.services.get(pickService(route, random));
  if (service === undefined) return refused('unknownRoute');
  return {kind: 'routed', route, service, customer};
}

function refused(kind: 'unknownRoute' | 'unknownKey'): RouteResult {
  return {kind: 'refused', refusal: {kind}};
}

function pickService(route: SiteRoute, random: () => number): string {
  const total = route.split.reduce((sum, {weight}) => sum + weight, 0);
  let remainder = random() * total;
  for (const {service, weight} of route.split) {
    remainder -= weight;
    if (remainder < 0) return service;
  }
  return route.split[route.split.length - 1]?.service ?? '';
}
