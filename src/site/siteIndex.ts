/** Looks up routes and keys of a site; built once for each version. */

import {prioritizedServices} from './prioritizedServices';
import type {Site, SiteCustomer, SiteRoute} from './site';

/** Lookup tables of one version. */
export class SiteIndex {
  private readonly byHost = new Map<string, SiteRoute[]>();
  private readonly byKey = new Map<string, SiteCustomer>();
  private readonly prioritized: ReadonlySet<string>;

  constructor(readonly site: Site) {
    this.prioritized = prioritizedServices(site);
    for (const route of site.routes) this.addRoute(route);
    // Longest first: the first that matches is the most specific.
    for (const routes of this.byHost.values())
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    for (const customer of site.customers)
      for (const key of customer.keys) this.byKey.set(key, customer);
  }

  /** Whether callers must identify themselves by a key. */
  get requiresKeys(): boolean {
    return this.site.customers.length > 0;
  }

  /** Whether the routes of the service differ in priority. */
  isPrioritized(service: string): boolean {
    return this.prioritized.has(service);
  }

  /** The route with the longest prefix of the path. */
  findRoute(host: string, path: string): SiteRoute | undefined {
    const hostName = host.replace(/:\d+$/, '').toLowerCase();
    return this.byHost
      .get(hostName)
      ?.find(route => path.startsWith(route.pathPrefix));
  }

  findCustomer(key: string): SiteCustomer | undefined {
    return this.byKey.get(key);
  }

  private addRoute(route: SiteRoute): void {
    const host = route.host.toLowerCase();
    const routes = this.byHost.get(host);
    if (routes === undefined) this.byHost.set(host, [route]);
    else routes.push(route);
  }
}
