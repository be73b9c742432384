/** Settings and dependencies of a node of the cluster. */

import type {Logger} from '../core/logger';
import type {NodeMetrics} from '../core/nodeMetrics';
import type {IncomingMessage} from 'node:http';
import type {Inbound} from '../inbound/inbound';
import type {DecodedSite} from '../site/site';
import type {TargetNotice} from '../site/targetNotice';
import type {NodeInfo, ServiceLoad} from './messages';

/** Settings and dependencies of a node. */
export interface ClusterNodeOptions {
  readonly self: NodeInfo;
  readonly port: number;
  readonly seeds: readonly string[];
  /** Folder of the log; empty for a node without a disk. */
  readonly dataDir: string;
  readonly isFirstStart: boolean;
  readonly lossesBorne: number;
  /** Part of its demand that each urgency keeps under overload, 0 to 1. */
  readonly admissionFloor: number;
  /** Period of the targets' announcements, milliseconds. */
  readonly heartbeatMs: number;
  /** Age of a confirmation after which a newer document may be in force, ms. */
  readonly maxSiteAgeMs: number;
  readonly logger: Logger;
  readonly metrics: NodeMetrics;
  readonly inbound: Inbound;
  decodeSite(text: string): DecodedSite;
  /** Undefined for a response of another target than the one that was called. */
  readNotice(res: IncomingMessage): TargetNotice | undefined;
  /** Loads by service; arrivals are counted since the last call. */
  takeLoads(): readonly ServiceLoad[];
}
