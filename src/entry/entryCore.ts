/** Dependencies shared by the components of one entry. */

import type https from 'node:https';
import type {Logger} from '../core/logger';
import type {Metrics} from '../core/metrics';
import type {ControlSync} from '../sync/controlSync';
import type {RetryBudgets} from './retryBudgets';
import type {TargetLoad} from './targetLoad';
import type {UsageCounter} from './usageCounter';
import type {ZoneReturns} from './zoneReturns';

/** Identity, shared state and services of one entry. */
export interface EntryCore {
  readonly entryId: string;
  readonly availabilityZone: string;
  readonly sync: ControlSync;
  readonly load: TargetLoad;
  readonly retryBudgets: RetryBudgets;
  readonly usage: UsageCounter;
  readonly zoneReturns: ZoneReturns;
  /** Pools keep-alive connections to agents. */
  readonly keepAliveAgent: https.Agent;
  /** Opens a new connection to an agent for each request. */
  readonly singleUseAgent: https.Agent;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly random: () => number;
}
