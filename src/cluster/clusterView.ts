/** What a node knows of the cluster, as its gateway uses it. */

import type {SiteIndex} from '../site/siteIndex';
import type {ServiceGrant} from './messages';

/** State by which a gateway routes and admits requests. */
export interface ClusterView {
  readonly index: SiteIndex | undefined;
  /**
   * Time as of which a leader confirmed the document as the newest, milliseconds;
   * absent before the first.
   */
  readonly confirmedAtMs?: number;
  readonly zonesOut: ReadonlySet<string>;
  readonly grants: ReadonlyMap<string, ServiceGrant>;
  /** When the grants were received, milliseconds; absent before the first. */
  readonly grantedAtMs?: number;
  readonly activeNodes: number;
}
