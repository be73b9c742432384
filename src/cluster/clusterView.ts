/** What a node knows of the cluster, as its gateway uses it. */

import type {ZoneRevisions} from '../control/state/siteState';
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
  /** Last order of each zone that had one; absent from a leader of an older version. */
  readonly zoneRevisions?: ZoneRevisions;
  readonly grants: ReadonlyMap<string, ServiceGrant>;
  /** When the grants were received, milliseconds; absent before the first. */
  readonly grantedAtMs?: number;
  readonly activeNodes: number;
}
